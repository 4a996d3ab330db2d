package estate

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// A connection of another process got the port of a server that was starting again, and the test process ended with a panic.
func TestServerKeepsItsPort(t *testing.T) {
	s := &Server{Name: "p1", Service: "plain", Zone: "zone-1", Slots: 1, RestartTime: 200 * time.Millisecond}
	p := &Platform{Servers: []*Server{s}}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	address := s.listener.Addr().(*net.TCPAddr)
	s.Restart("v2")
	for {
		c, err := net.Dial("tcp", address.String())
		if err != nil {
			break // it has stopped
		}
		_ = c.Close()
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: address.Port}}
	conn, err := dialer.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
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
