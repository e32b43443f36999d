// Command adapter runs routers of package indigospool for the simulator. It reads batches of events
// from standard input and writes replies to standard output; each instance has its own router.
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
