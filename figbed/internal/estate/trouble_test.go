package estate

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// A connection of another process got the port of a server that was starting again, and the test process ended with a panic.
func TestServerKeepsItsPort(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	const tries = 20 // any socket of an earlier test may still hold a server's port at the address of the connection
	for try := 1; ; try++ {
		s := &Server{Name: "p1", Service: "plain", Zone: "zone-1", Slots: 1, RestartTime: 200 * time.Millisecond}
		p := &Platform{Servers: []*Server{s}}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Stop)
		address := s.listener.Addr().(*net.TCPAddr)
		s.Restart("v2")
		waitUntilRefused(address)
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: address.Port}}
		conn, err := dialer.Dial("tcp", listener.Addr().String())
		if errors.Is(err, syscall.EADDRINUSE) && try < tries {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		waitUntilHealthy(t, address)
		return
	}
}

// waitUntilRefused returns when nothing listens at an address.
func waitUntilRefused(address *net.TCPAddr) {
	for {
		c, err := net.Dial("tcp", address.String())
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

// waitUntilHealthy returns when the server at an address answers, and fails the test after 5 s.
func waitUntilHealthy(t *testing.T, address *net.TCPAddr) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + address.String() + "/healthz")
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}
