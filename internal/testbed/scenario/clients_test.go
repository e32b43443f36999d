package scenario

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// A client reuses an idle connection unless the router has closed it.
func TestIdleConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	at := &routerEndpoint{name: "r1", addr: listener.Addr().String()}
	first, err := at.get()
	if err != nil {
		t.Fatal(err)
	}
	server := <-accepted
	at.put(first)
	if again, err := at.get(); err != nil || again != first {
		t.Fatalf("got another connection or error %v, want the idle connection", err)
	}
	at.put(first)
	server.Close()
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	for !first.closedByPeer() && sleep(ctx, 1) {
	}
	second, err := at.get()
	if err != nil || second == first {
		t.Fatalf("got the connection that the router has closed or error %v, want a new connection", err)
	}
	defer second.Close()
	server = <-accepted
	defer server.Close()
	if _, err := io.WriteString(second, "x"); err != nil {
		t.Error(err)
	}
}
