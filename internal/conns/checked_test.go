package conns

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/faulty"
)

// An answer of which the name of a field holds a blank was read without that field, so that a body without its length looked
// whole.
func TestAnswerWithForbiddenNames(t *testing.T) {
	for _, answers := range []map[string]string{faulty.BlankNames, faulty.ForbiddenNames} {
		for name, text := range answers {
			t.Run(name, func(t *testing.T) {
				transport := Transport(time.Second, 1, time.Second)
				if body, err := post(t, transport, text); err == nil {
					t.Errorf("the answer is whole with the body %q", body)
				}
			})
		}
	}
}

func TestAnswerWithAllowedNames(t *testing.T) {
	for name, text := range map[string]string{
		"Token":    "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: a b\r\nContent-Length: 4\r\n\r\npart",
		"Interims": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart",
		"Interim":  "HTTP/1.1 103 Early Hints\r\nLink: </a b>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart",
		"Trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX-Name: a b\r\n\r\n",
		"Folded":   "HTTP/1.1 200 OK\r\nX-Name: a\r\n b\r\nContent-Length: 4\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := post(t, Transport(time.Second, 1, time.Second), text)
			if diff := cmp.Diff("part", body); diff != "" || err != nil {
				t.Errorf("%v, body (-want +got):\n%s", err, diff)
			}
		})
	}
}

// The connection of such an answer was kept for the next request.
func TestConnectionOfForbiddenNamesIsClosed(t *testing.T) {
	for _, name := range []string{"Within", "WithoutContent", "Trailer"} {
		t.Run(name, func(t *testing.T) {
			address := faulty.Start(t, faulty.Always(faulty.BlankNames[name], faulty.Kept))
			transport := Transport(time.Second, 1, time.Minute)
			for n := range 2 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				reused := false
				trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
				req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, "http://"+address, nil)
				if err != nil {
					t.Fatal(err)
				}
				if resp, err := transport.RoundTrip(req); err == nil {
					_, _ = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				cancel()
				if reused {
					t.Errorf("request %d went to the connection of the one before", n+1)
				}
			}
		})
	}
}

// post makes a call that is answered with text and returns the body of the answer.
func post(t *testing.T, transport http.RoundTripper, text string) (body string, err error) {
	t.Helper()
	address := faulty.Start(t, faulty.Always(text, faulty.Read))
	req, err := http.NewRequest(http.MethodPost, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.ReadAll(resp.Body)
	return string(read), err
}
