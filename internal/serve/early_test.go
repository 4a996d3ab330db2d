package serve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/faulty"
)

// earlyPlays is the number of uploads for each case; one of them seldom shows a fault that depends on the order of two goroutines.
const earlyPlays = 8

// earlyAnswers are answers whose body ends with their connection.
var earlyAnswers = map[string]string{
	"Plain":       "HTTP/1.1 200 OK\r\n\r\npart",
	"Refusal":     "HTTP/1.1 400 Bad Request\r\n\r\npart",
	"EventStream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: one\n\n",
	"HTTP10":      "HTTP/1.0 200 OK\r\n\r\npart",
}

// An endpoint answered a long upload at once, without a length, and reset the connection while the upload was being written. The
// caller got the part that had come as a whole answer.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	for name, text := range earlyAnswers {
		for ending, e := range faulty.Resets {
			for _, path := range []string{"/order", "/lookup"} {
				for _, passed := range []bool{false, true} {
					for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
						t.Run(fmt.Sprintf("%s/%s%s/passed=%v/%s", name, ending, path, passed, protocol), func(t *testing.T) {
							t.Parallel()
							address := faulty.Start(t, faulty.Always(text, e))
							url := scriptedHost(t, passed, "", address)
							whole := 0
							for range earlyPlays {
								if got := upload(t, url+path, protocol); got.err == nil && got.status < http.StatusInternalServerError {
									whole++
								}
							}
							if whole > 0 {
								t.Errorf("%d of %d answers were whole", whole, earlyPlays)
							}
						})
					}
				}
			}
		}
	}
}

// A server that needs no more of a request may answer it early, and ends its side of the connection then.
func TestEarlyAnswerThatEndsProperlyIsWhole(t *testing.T) {
	for name, text := range earlyAnswers {
		for ending, e := range faulty.Ends {
			for _, passed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/passed=%v", name, ending, passed), func(t *testing.T) {
					t.Parallel()
					address := faulty.Start(t, faulty.Always(text, e))
					url := scriptedHost(t, passed, "", address)
					for range 5 {
						_, body, _ := strings.Cut(text, "\r\n\r\n")
						if got := upload(t, url+"/order", "HTTP/1.1"); got.err != nil || got.body != body {
							t.Fatalf("status %d, body %q, %v", got.status, got.body, got.err)
						}
					}
				})
			}
		}
	}
}

// upload makes a call with a body of faulty.LongBody bytes on a connection of its own.
func upload(t *testing.T, url, protocol string) callerAnswer {
	t.Helper()
	host, path, _ := strings.Cut(strings.TrimPrefix(url, "http://"), "/")
	conn, err := net.Dial("tcp", host)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "POST /%s %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", path, protocol, testKey, faulty.LongBody)
	if _, err := conn.Write(make([]byte, faulty.LongBody)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callerAnswer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return callerAnswer{resp.StatusCode, string(got), err}
}
