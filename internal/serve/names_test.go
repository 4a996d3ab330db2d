package serve

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/figshift/figshift/internal/faulty"
	"github.com/figshift/figshift/internal/wire"
)

// The name of a field of an endpoint's answer held a blank. The caller got the answer, without that field or with a body that
// wasn't the endpoint's.
func TestAnswerWithForbiddenNamesIsNotWhole(t *testing.T) {
	for kind, answers := range map[string]map[string]string{"Blank": faulty.BlankNames, "Forbidden": faulty.ForbiddenNames} {
		for name, text := range answers {
			for _, path := range []string{"/order", "/lookup"} {
				for _, passed := range []bool{false, true} {
					for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
						t.Run(fmt.Sprintf("%s/%s%s/passed=%v/%s", kind, name, path, passed, protocol), func(t *testing.T) {
							t.Parallel()
							url := scriptedHost(t, passed, "", faulty.Start(t, faulty.Always(text, faulty.Read)))
							got := callOver(t, url+path, protocol)
							trailer := strings.Contains(text, "chunked\r\n\r\n4") && !strings.Contains(text, "Encoding :")
							if got.err == nil && (trailer || got.status != http.StatusBadGateway) {
								t.Errorf("status %d, body %q", got.status, got.body)
							}
						})
					}
				}
			}
		}
	}
}

// A request that may be repeated gets the answer of another endpoint, and any other one is sent once.
func TestForbiddenNamesAndTheNextEndpoint(t *testing.T) {
	for name, text := range map[string]string{"Length": faulty.BlankNames["Length"], "Interim": faulty.BlankNames["Interim"]} {
		t.Run(name, func(t *testing.T) {
			var asked, broken atomic.Int64
			address := faulty.Start(t, func(r *http.Request) faulty.Answer {
				if r.URL.Path == wire.PathLoad || r.URL.Path == wire.PathState {
					return faulty.Answer{Text: "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", Ending: faulty.Read}
				}
				broken.Add(1)
				return faulty.Answer{Text: text, Ending: faulty.Read}
			})
			bad := wire.Endpoint{Name: "bad", Kind: wire.Service, Service: "lookup", Incarnation: "1", State: wire.Live, Address: address}
			ts := newTestServer(t, bad, service(t, "good", func(w http.ResponseWriter, _ *http.Request) {
				asked.Add(1)
				_, _ = io.WriteString(w, "whole")
			}))
			for n := range 8 {
				if got := callOver(t, ts.url+"/lookup", "HTTP/1.1"); !got.whole() || got.body != "whole" {
					t.Errorf("lookup %d: status %d, body %q, %v", n, got.status, got.body, got.err)
				}
			}
			if broken.Load() == 0 {
				t.Error("no lookup was sent to the broken endpoint")
			}
			asked.Store(0)
			broken.Store(0)
			refused := int64(0)
			for n := range 8 {
				resp, body, err := ts.request(t, http.MethodPost, "/order", "", nil)
				switch {
				case err != nil:
					t.Errorf("order %d: %v", n, err)
				case resp.StatusCode != http.StatusOK:
					refused++
					checkRefusal(t, resp, body, "OutcomeUnknown", "Unknown")
				}
			}
			if sent := asked.Load() + broken.Load(); sent != 8 || refused != broken.Load() {
				t.Errorf("8 orders were sent %d times, %d to the broken endpoint; %d were refused", sent, broken.Load(), refused)
			}
		})
	}
}
