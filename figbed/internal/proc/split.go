package proc

import (
	"io"
	"net"
	"sync"
)

// split accepts peers' connections to one host and leads each through the link of the host that it comes from,
// told by its source IP. A connection from an unknown source takes the link of "".
type split struct {
	listener net.Listener
	links    map[string]*Link // by source IP
}

func newSplit(t T, ip string, links map[string]*Link) *split {
	t.Helper()
	listener, err := net.Listen("tcp", Address(t, ip))
	if err != nil {
		t.Fatal(err)
	}
	s := &split{listener: listener, links: links}
	t.Cleanup(func() { _ = listener.Close() })
	go s.serve()
	return s
}

func (s *split) address() string { return s.listener.Addr().String() }

func (s *split) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.lead(conn)
	}
}

func (s *split) lead(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	ip, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	link, ok := s.links[ip]
	if !ok {
		link = s.links[""]
	}
	next, err := net.Dial("tcp", link.Listen)
	if err != nil {
		return
	}
	defer func() { _ = next.Close() }()
	join(conn, next)
}

// join copies both ways and closes both when one way ends.
func join(a, b net.Conn) {
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
