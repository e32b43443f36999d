// Command adapter lets routers of package indigospool decide on the wire of
// the simulator: batches of events on standard input, replies on standard
// output, one router for each instance.
package main

import (
	"fmt"
	"os"

	"indigospool/internal/protocol/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
