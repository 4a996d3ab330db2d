package estate

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// Arrival is a request or call of any kind that reached a server.
type Arrival struct {
	At       time.Time
	Instance string // of the server; each start is another one
	Path     string
}

// Crash is the end of a server's instance under a request.
type Crash struct {
	At   time.Time
	Path string // of the request
}

// crash closes the server's connections under a request and starts the server again after RestartTime. Only the first call
// for an instance counts.
func (s *Server) crash(instance, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.instance != instance {
		return
	}
	s.crashes = append(s.crashes, Crash{At: time.Now(), Path: path})
	s.end(fmt.Sprintf("%s.%d", s.Name, len(s.crashes)))
}

// end closes the server's connections and starts it again after RestartTime as another instance. The caller holds s.mu.
func (s *Server) end(next string) {
	before := s.instance
	s.instance = next
	s.running = 0
	_ = s.server.Close()
	time.AfterFunc(s.RestartTime, func() { s.restart(before) })
}

// Restart closes the server's connections and starts it again after RestartTime, under the same name and with another
// version of its software. The store has the new entry RegisterDelay later. It does nothing while the server starts again.
func (s *Server) Restart(software string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.restarting {
		return
	}
	s.restarting, s.Software = true, software
	s.restarts++
	s.end(s.instance)
}

// restart starts the next instance after a crash and replaces the entry of the one before.
func (s *Server) restart(before string) {
	s.mu.Lock()
	address, stopped := s.listener.Addr().String(), s.stopped
	s.mu.Unlock()
	if stopped {
		return
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err) // nobody else has the address
	}
	s.mu.Lock()
	s.listener, s.startMS, s.restarting = listener, time.Now().UnixMilli(), false
	s.mu.Unlock()
	s.serve()
	time.Sleep(s.RegisterDelay)
	if before != s.currentInstance() {
		s.store.Put("servers", before, nil)
	}
	s.register()
}

// sendBroken sends bytes in place of an answer and closes the connection.
func sendBroken(w http.ResponseWriter, answer string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the connections of http.Server can be hijacked
	}
	_, _ = io.WriteString(conn, answer) // the caller may have closed the connection
	_ = conn.Close()
}

// serverListen is the address at which servers listen. Outgoing connections have another IP, so that none of them has a server's port
// while the server starts again.
const serverListen = "127.0.0.2:0"

// listen listens for requests. A server that answers early has small buffers for them, so that they are still being written then.
func (s *Server) listen() (net.Listener, error) {
	const bufferBytes = 1 << 10
	var config net.ListenConfig
	if s.Early != nil {
		config.Control = setReceiveBuffer(bufferBytes)
	}
	return config.Listen(context.Background(), "tcp", serverListen)
}

// setReceiveBuffer returns a control function that sets the size of the receive buffer of a socket, in bytes.
func setReceiveBuffer(size int) func(_, _ string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
		return cmp.Or(err, sockoptErr)
	}
}

// earlyTime is the time after an early answer until the connection is reset, in which the answer arrives.
const earlyTime = 20 * time.Millisecond

// sendEarly sends an answer and resets the connection, with the body of the request unread.
func sendEarly(w http.ResponseWriter, answer string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the connections of http.Server can be hijacked
	}
	_, _ = io.WriteString(conn, answer) // the caller may have closed the connection
	time.Sleep(earlyTime)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// sendEndless sends bytes until the caller closes the connection.
func sendEndless(w http.ResponseWriter, first string, more func(n int) string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the connections of http.Server can be hijacked
	}
	defer func() { _ = conn.Close() }()
	part := first
	for n := 0; ; n++ {
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		part = more(n)
		time.Sleep(endlessPause)
	}
}

// endlessPause is the pause between two parts of an answer without end, which leaves processor time to others.
const endlessPause = 2 * time.Millisecond

// Crashes returns the crashes of the server, in order.
func (s *Server) Crashes() []Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Crash(nil), s.crashes...)
}

// currentInstance returns the name of the running instance.
func (s *Server) currentInstance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
}

// SetLimit sets the limit in requests a second that every answer names, 0 for none.
func (s *Server) SetLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
}

// Arrivals returns the requests and calls of any kind that arrived, in order.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// start returns the name of the running instance, with the number of its restarts if it has kept its name. The caller holds
// s.mu.
func (s *Server) start() string {
	if s.restarts == 0 {
		return s.instance
	}
	return fmt.Sprintf("%s/%d", s.instance, s.restarts)
}

// SayLeaving has the server say in every answer that it leaves, while its entry is unchanged, until it starts anew.
func (s *Server) SayLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saysLeaving = true
}

// recordArrival records an arrival, and names in the answer the limit and that the server leaves.
func (s *Server) recordArrival(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, Arrival{At: time.Now(), Instance: s.start(), Path: r.URL.Path})
	if s.saysLeaving {
		w.Header().Set(headerLeaving, "1")
	}
	if s.limit > 0 {
		w.Header().Set(HeaderLimit, strconv.FormatFloat(s.limit, 'f', -1, 64))
	}
}
