package proc

import (
	"io"
	"net"
	"sync"
)

// peerRouter accepts the connections of peers to one host and forwards each through the link of the host that it comes
// from, which it identifies by the source IP. Connections from unknown IPs are forwarded through the link of "".
type peerRouter struct {
	listener net.Listener
	links    map[string]*Link // by source IP
}

func newPeerRouter(t T, ip string, links map[string]*Link) *peerRouter {
	t.Helper()
	listener, err := net.Listen("tcp", Address(t, ip))
	if err != nil {
		t.Fatal(err)
	}
	r := &peerRouter{listener: listener, links: links}
	t.Cleanup(func() { _ = listener.Close() })
	go r.serve()
	return r
}

func (r *peerRouter) address() string { return r.listener.Addr().String() }

func (r *peerRouter) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *peerRouter) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	ip, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	link, ok := r.links[ip]
	if !ok {
		link = r.links[""]
	}
	next, err := net.Dial("tcp", link.Listen)
	if err != nil {
		return
	}
	defer func() { _ = next.Close() }()
	copyBothWays(conn, next)
}

// copyBothWays copies in both directions and closes both connections when either direction ends.
func copyBothWays(a, b net.Conn) {
	var group sync.WaitGroup
	for _, pair := range [][2]net.Conn{{a, b}, {b, a}} {
		group.Go(func() {
			_, _ = io.Copy(pair[0], pair[1])
			_ = a.Close()
			_ = b.Close()
		})
	}
	group.Wait()
}
