package conns

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Callers' paths reached the endpoints escaped anew, or without what followed a "#".
func TestTargetIsSentAsItIs(t *testing.T) {
	seen := make(chan string, 1)
	address := firstLineServer(t, seen)
	transport := Transport(time.Second, 1, time.Second)
	t.Cleanup(transport.CloseIdleConnections)
	for _, target := range []string{
		"/", "/a?x=1;y=%20", "/a%2Fb//c", "/a?", "//a/b", "/..//../x", "/a:b@c",
		"/a|b", `/a"b`, "/a^b", "/a{b}", "/a`b", `/a\b`, "/a<b>", "/\u00e9", "/a#b", "/a?x#y", `/a?x=|"`, "/%7Ca|b",
	} {
		req, err := NewRequest(context.Background(), http.MethodPost, address, target)
		if err != nil {
			t.Errorf("%q: %v", target, err)
			continue
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Errorf("%q: %v", target, err)
			continue
		}
		_ = resp.Body.Close()
		if diff := cmp.Diff("POST "+target+" HTTP/1.1", <-seen); diff != "" {
			t.Errorf("request line (-want +got):\n%s", diff)
		}
	}
}

// firstLineServer answers each request and reports its request line.
func firstLineServer(t *testing.T, seen chan<- string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test is over
			}
			head := make([]byte, 4<<10)
			n, _ := conn.Read(head) // an empty line is reported then
			line, _, _ := strings.Cut(string(head[:n]), "\r\n")
			seen <- line
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// A target must not end the request line, or begin another request.
func TestTargetsThatCannotBeSent(t *testing.T) {
	for _, target := range []string{"*", "a", "/a b", "/a\r\nX: y", "/a\x00", "/a\x7f", "/a%zz", "http://h/a", "/a HTTP/1.1", "//a|b"} {
		if req, err := NewRequest(context.Background(), http.MethodGet, "127.0.0.1:1", target); err == nil {
			t.Errorf("%q is sent as %q, want an error", target, req.URL.RequestURI())
		}
	}
}

// A field must not end its line, or the head.
func TestFieldsThatCannotBeSent(t *testing.T) {
	cases := map[string]struct {
		name, value string
		sound       bool
	}{
		"sound":             {"X-a_b", "a\tb, \u00e9", true},
		"empty value":       {"X", "", true},
		"no name":           {"", "a", false},
		"blank in the name": {"X y", "a", false},
		"colon in the name": {"X:", "a", false},
		"letter beyond a":   {"X\u00e9", "a", false},
		"line break":        {"X", "a\r\nY: b", false},
		"line feed":         {"X", "a\nb", false},
		"zero":              {"X", "a\x00", false},
		"delete":            {"X", "a\x7f", false},
	}
	for name, c := range cases {
		if err := CheckField(c.name, c.value); (err == nil) != c.sound {
			t.Errorf("%s: error %v, want one: %v", name, err, !c.sound)
		}
	}
}
