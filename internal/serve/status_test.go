package serve

import (
	"fmt"
	"net/http"
	"testing"
)

// An endpoint's answer had a status that can't end a request. The handler panicked, so that the request was never ended, or the
// caller got that status.
func TestStatusThatEndsNoRequest(t *testing.T) {
	for name, answer := range map[string]string{
		"Zero":              "000 None\r\nContent-Length: 4\r\n\r\nnone",
		"Low":               "099 None\r\nContent-Length: 4\r\n\r\nnone",
		"Signed":            "+20 None\r\nContent-Length: 4\r\n\r\nnone",
		"High":              "999 None\r\nContent-Length: 4\r\n\r\nnone",
		"SwitchesProtocols": "101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\nnone",
		"NamesNoProtocol":   "101 Switching Protocols\r\n\r\n",
	} {
		for _, path := range []string{"/order", "/lookup"} {
			for _, passed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s%s/passed=%v", name, path, passed), func(t *testing.T) {
					endpoint := newRawEndpoint(t)
					endpoint.answer.Store("HTTP/1.1 " + answer)
					url := scriptedHost(t, passed, "", endpoint.address)
					if got := callOver(t, url+path, "HTTP/1.1"); got.status != http.StatusBadGateway {
						t.Errorf("status %d, body %q, %v; want %d", got.status, got.body, got.err, http.StatusBadGateway)
					}
				})
			}
		}
	}
}

// Each such answer took a place of its endpoint for good, until the host sent it no requests any more.
func TestStatusThatEndsNoRequestFreesItsPlace(t *testing.T) {
	ts := newTestServer(t, service(t, "e", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/order/none" {
			answerRaw("HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n", false)(w, r)
		}
	}))
	for n := range testSite().Limits.ConcurrencyPerNode {
		callOver(t, ts.url+"/order/none", "HTTP/1.1")
		if got := callOver(t, ts.url+"/order/next", "HTTP/1.1"); !got.whole() {
			t.Fatalf("after %d such answers: status %d, body %q, %v", n+1, got.status, got.body, got.err)
		}
	}
}
