package items

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// A transport that turns from a kept connection to a new one asks the engine which incarnation it is. The question must not be
// taken back as one that the kept connection made needless: the engine counts it against its limit.
func TestQuestionOfASecondConnectionIsCounted(t *testing.T) {
	cases := map[string]struct {
		reused []bool // of the connections that the transport uses, in order
		want   []bool // Reused of the events
	}{
		"kept":           {[]bool{true}, []bool{true}},
		"new":            {[]bool{false}, []bool{false}},
		"kept, then new": {[]bool{true, false}, []bool{false}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []bool
			x, _, _ := newExecutor(t)
			x.Post = func(ev event.Event) bool {
				if e, ok := ev.(event.EndpointIdentified); ok {
					got = append(got, e.Reused)
				}
				return true
			}
			x.Identified = roundTripper(func(req *http.Request) (*http.Response, error) {
				trace := httptrace.ContextClientTrace(req.Context())
				for _, reused := range c.reused {
					conn, other := net.Pipe()
					defer func() { _, _ = conn.Close(), other.Close() }()
					trace.GotConn(httptrace.GotConnInfo{Conn: &conns.Identified{Conn: conn, Incarnation: "1"}, Reused: reused})
				}
				w := httptest.NewRecorder()
				w.WriteHeader(http.StatusUnprocessableEntity)
				return w.Result(), nil
			})
			j := &jobState{job: wire.Job{Items: []wire.JobItem{{ID: "i", Path: "/p"}}}, texts: []*itemText{{}}}
			x.runRequest(context.Background(), j, event.RunItem{Incarnation: "1", Identify: true, Charged: true, Deadline: time.Second}, j.texts[0], "", func() {})
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("questions that were not asked (-want +got):\n%s", diff)
			}
		})
	}
}
