package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A connection was taken for one to the endpoint that the list shows, although the endpoint had started again since.
func TestIdentifiedConnections(t *testing.T) {
	cases := map[string]struct {
		answer string
		found  string
		fails  bool
		usable bool // for the incarnation "5"
	}{
		"Meant":         {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n5", "5", false, true},
		"StartedAgain":  {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n6", "6", false, false},
		"DoesNotTell":   {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", false, true},
		"Refuses":       {"HTTP/1.1 503 Busy\r\nContent-Length: 1\r\n\r\n5", "", true, false},
		"NoAnswer":      {"no answer at all\r\n\r\n", "", true, false},
		"Closes":        {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n5", "", true, false},
		"SecondAnswer":  {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n5HTTP/1.1 200 OK\r\n\r\n", "", true, false},
		"WithoutAnEnd":  {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + strings.Repeat("5", 2*maxIdentityBytes), "", true, false},
		"CutInTheHead":  {"HTTP/1.1 200", "", true, false},
		"BlankInAName":  {"HTTP/1.1 200 OK\r\nX Name: 1\r\nContent-Length: 1\r\n\r\n5", "", true, false},
		"BlankInTheEnd": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n5\r\n0\r\nX Name: 1\r\n\r\n", "", true, false},
		"MalformedBody": {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", "", true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := serveOnce(t, c.answer)
			identity := Identity{Path: "/who", Parse: func(body []byte) (string, error) {
				if string(body) == "bad" {
					return "", errors.New("malformed")
				}
				return string(body), nil
			}}
			conn, err := identity.Dial(context.Background(), func(context.Context) (net.Conn, error) { return net.Dial("tcp", address) })
			if (err != nil) != c.fails {
				t.Fatalf("error %v, want one: %v", err, c.fails)
			}
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			found, ok := Verify(conn, "5")
			if diff := cmp.Diff(c.found, found); diff != "" || !ok {
				t.Errorf("identified: %v, as (-want +got):\n%s", ok, diff)
			}
			if _, err := conn.Write([]byte("x")); (err == nil) != c.usable {
				t.Errorf("error of a write: %v, want a usable connection: %v", err, c.usable)
			}
		})
	}
}

// serveOnce answers the head of one request with text.
func serveOnce(t *testing.T, text string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return // the test is over
		}
		defer func() { _ = conn.Close() }()
		for lines := bufio.NewScanner(conn); lines.Scan() && lines.Text() != ""; {
			continue
		}
		_, _ = io.WriteString(conn, text) // the other side may have closed the connection
		if strings.Contains(text, "200 OK") {
			_, _ = io.Copy(io.Discard, conn)
		}
	}()
	return listener.Addr().String()
}
