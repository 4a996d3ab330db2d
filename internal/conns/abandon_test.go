package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// shortTime is enough for a connection's end to arrive on this machine.
const shortTime = 300 * time.Millisecond

// Attempts that were given up closed their connection. Bytes of the request that a broken link held up reached the server seconds
// later, which ran a request that nobody waited for.
func TestAbandonedRequestsAreReset(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := map[string]struct {
		answer string
		body   int  // length of the request's body
		read   int  // bytes of the answer's body that are read, -1 for all
		cancel bool // the request's context ends then
		reset  bool
	}{
		"no answer":                         {"", 0, 0, true, true},
		"no answer, long body":              {"", 32 << 20, 0, true, true},
		"within the head":                   {"HTTP/1.1 200 OK\r\nContent-", 0, 0, true, true},
		"within the body":                   {whole[:len(whole)-1], 0, 1, true, true},
		"the body is closed before its end": {whole[:len(whole)-1], 0, 1, false, true},
		"whole":                             {whole, 0, -1, false, false},
		"whole, then the context ends":      {whole, 0, -1, true, false},
		"whole without a body":              {"HTTP/1.1 204 No Content\r\n\r\n", 0, -1, false, false},
		"whole, not to be used again":       {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 0, -1, false, false},
		"whole in chunks":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0, -1, false, false},
		"a malformed head":                  {"HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 2\r\n\r\nok", 0, -1, false, true},
	}
	for name, c := range cases {
		for kind, identity := range map[string]*Identity{"plain": nil, "identified": testIdentity} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				address, ends := startScripted(t, c.answer)
				transport := IdentifyingTransport(Dialer(time.Second), identity, 1, time.Minute)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.cancel && c.read == 0 {
					time.AfterFunc(shortTime, cancel)
				}
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("x", c.body)))
				if err != nil {
					t.Fatal(err)
				}
				if resp, err := transport.RoundTrip(req); err == nil {
					readSome(resp.Body, c.read)
					if c.cancel {
						cancel()
					}
					_ = resp.Body.Close()
				}
				time.Sleep(shortTime)
				transport.CloseIdleConnections()
				if diff := cmp.Diff(c.reset, errors.Is(<-ends, syscall.ECONNRESET)); diff != "" {
					t.Errorf("the connection is reset (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// An endpoint that did not tell which incarnation it is got the question after its link was back.
func TestAbandonedQuestionIsReset(t *testing.T) {
	address, ends := startScripted(t, "")
	silent := &Identity{Path: "/silent", Parse: testIdentity.Parse}
	transport := IdentifyingTransport(Dialer(time.Second), silent, 1, time.Minute)
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := transport.RoundTrip(req); err == nil {
		t.Fatal("an endpoint without an incarnation was used")
	}
	if err := <-ends; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ends with %v, want a reset", err)
	}
}

// TestBytesOfAnAbandonedRequestAreLost sends requests over a link that holds bytes up, gives them up, and has the link go on. A server
// must get those alone that somebody waits for.
func TestBytesOfAnAbandonedRequestAreLost(t *testing.T) {
	var mu sync.Mutex
	var got []string
	server := newHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		got = append(got, r.URL.Path)
	})
	link := startLink(t, server)
	transport := Transport(time.Second, 1, time.Minute)
	send := func(path string, patience time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+link.address+path, nil)
		if err != nil {
			t.Error(err)
			return
		}
		if resp, err := transport.RoundTrip(req); err == nil {
			readSome(resp.Body, -1)
			_ = resp.Body.Close()
		}
	}
	send("/before", time.Minute)
	link.hold()
	var calls sync.WaitGroup
	calls.Go(func() { send("/kept", shortTime) }) // on the connection that was kept
	time.Sleep(shortTime / 3)
	calls.Go(func() { send("/new", shortTime) })
	calls.Go(func() { send("/patient", time.Minute) })
	time.Sleep(2 * shortTime)
	link.release()
	calls.Wait()
	time.Sleep(shortTime)
	mu.Lock()
	defer mu.Unlock()
	if diff := cmp.Diff([]string{"/before", "/patient"}, got); diff != "" {
		t.Errorf("requests that the server got (-want +got):\n%s", diff)
	}
}

// testIdentity is the question that startScripted answers.
var testIdentity = &Identity{Path: "/identity", Parse: func(body []byte) (string, error) { return string(body), nil }}

// startScripted starts a server that reads the head of a request and answers with a text, and returns its address and how the reads of
// its connections end. It answers questions for the identity first.
func startScripted(t *testing.T, answer string) (address string, ends chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ends = make(chan error, 10)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						ends <- err
						return
					}
					if req.URL.Path == testIdentity.Path {
						fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
						continue
					}
					fmt.Fprint(c, answer)
					if req.ContentLength != 0 {
						time.Sleep(2 * shortTime) // it does not read the body
					}
					_, err = io.Copy(io.Discard, r)
					ends <- err
					return
				}
			}()
		}
	}()
	return listener.Addr().String(), ends
}

// readSome reads n bytes, or all for -1.
func readSome(r io.Reader, n int) {
	if n < 0 {
		_, _ = io.Copy(io.Discard, r)
		return
	}
	_, _ = io.ReadFull(r, make([]byte, n))
}

func newHTTPServer(t *testing.T, handle http.HandlerFunc) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handle}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// heldLink passes the bytes of connections on to a server, or holds them up. Held bytes of a connection that is reset meanwhile are lost.
type heldLink struct {
	address string
	held    sync.RWMutex // locked while bytes are held up
}

func (l *heldLink) hold()    { l.held.Lock() }
func (l *heldLink) release() { l.held.Unlock() }

func startLink(t *testing.T, server string) *heldLink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := &heldLink{address: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(c, server)
		}
	}()
	return l
}

func (l *heldLink) pass(c net.Conn, server string) {
	defer func() { _ = c.Close() }()
	s, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() { _, _ = io.Copy(c, s) }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.Read(buffer)
		l.held.RLock() // waits while bytes are held up
		l.held.RUnlock()
		if err != nil || wasReset(c) {
			return
		}
		if _, err := s.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// wasReset reports whether the other side has reset a connection.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	failure := 0
	if controlErr := raw.Control(func(fd uintptr) { failure, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) }); controlErr != nil || err != nil {
		return true
	}
	return failure != 0
}
