package serve

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answerRaw writes text on the connection of a request and closes it, with a reset or not.
func answerRaw(text string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return // the test fails for want of the answer
		}
		_, _ = io.WriteString(conn, text)
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			time.Sleep(20 * time.Millisecond) // so that the text arrives before the reset
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// An answer without a length that an endpoint broke off with a reset looked complete to the caller.
func TestBrokenUnframedAnswerIsNotComplete(t *testing.T) {
	for name, reset := range map[string]bool{"Reset": true, "Closed": false} {
		t.Run(name, func(t *testing.T) {
			e := service(t, "e", answerRaw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", reset))
			ts := newTestServer(t, e)
			req, err := http.NewRequest(http.MethodPost, ts.url+"/order/x", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+testKey)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			if _, err := io.ReadAll(resp.Body); (err != nil) != reset {
				t.Errorf("error of the caller's read: %v, want one: %v", err, reset)
			}
		})
	}
}
