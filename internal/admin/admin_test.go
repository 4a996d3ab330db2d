package admin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/admin"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/reduce"
	"github.com/figshift/figshift/internal/wire"
)

const credential = "0123456789abcdef"

// hostStatusComponent adds a revision and one host to each status report.
type hostStatusComponent struct{}

func (hostStatusComponent) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	if e, ok := ev.(event.StatusAsked); ok {
		out.Emit(event.StatusPart{Seq: e.Seq, Status: wire.Status{ConfigRevision: 7, Hosts: []wire.HostStatus{{Host: "h1", Alive: true}}}})
	}
}

func newServer(refused *[]kinds.Kind) *admin.Server {
	collector := &admin.StatusCollector{}
	state := &reduce.State{Components: []event.Part{hostStatusComponent{}, &admin.StatusFinisher{Self: wire.Status{Host: "h1", Zone: "z1"}}}}
	collector.Post = func(ev event.Event) bool {
		for _, e := range state.Step(0, ev) {
			collector.Do(e)
		}
		return true
	}
	return &admin.Server{
		Credential: credential,
		Ready:      func() (bool, string) { return false, "AuthorityStale" },
		Status:     collector.Status,
		Metrics:    http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("metrics\n")) }),
		OnRefused:  func(k kinds.Kind) { *refused = append(*refused, k) },
	}
}

func TestServerGuards(t *testing.T) {
	cases := map[string]struct {
		method, path, authorization string
		status                      int
		body                        string
		refused                     []kinds.Kind
	}{
		"health":           {path: admin.PathHealth, status: 200, body: "ok\n"},
		"not ready":        {path: admin.PathReady, status: 503, body: "AuthorityStale\n"},
		"metrics":          {path: admin.PathMetrics, authorization: "Bearer " + credential, status: 200, body: "metrics\n"},
		"no credential":    {path: admin.PathMetrics, status: 401, refused: []kinds.Kind{kinds.CredentialInvalid}},
		"wrong credential": {path: admin.PathStatus, authorization: "Bearer " + credential + "0", status: 401, refused: []kinds.Kind{kinds.CredentialInvalid}},
		"not a bearer":     {path: admin.PathStatus, authorization: credential, status: 401, refused: []kinds.Kind{kinds.CredentialInvalid}},
		"empty bearer":     {path: admin.PathStatus, authorization: "Bearer ", status: 401, refused: []kinds.Kind{kinds.CredentialInvalid}},
		"other path":       {path: "/keys", authorization: "Bearer " + credential, status: 404},
		"other method":     {method: "POST", path: admin.PathStatus, authorization: "Bearer " + credential, status: 405},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var refused []kinds.Kind
			r := httptest.NewRequest(c.method, c.path, nil)
			r.Header.Set("Authorization", c.authorization)
			w := httptest.NewRecorder()
			newServer(&refused).Handler().ServeHTTP(w, r)
			if w.Code != c.status {
				t.Errorf("status %d, want %d", w.Code, c.status)
			}
			if c.body != "" && w.Body.String() != c.body {
				t.Errorf("body %q, want %q", w.Body, c.body)
			}
			if diff := cmp.Diff(c.refused, refused); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestStatusMergesParts(t *testing.T) {
	r := httptest.NewRequest("GET", admin.PathStatus, nil)
	r.Header.Set("Authorization", "Bearer "+credential)
	w := httptest.NewRecorder()
	newServer(nil).Handler().ServeHTTP(w, r)
	var got wire.Status
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := wire.Status{Host: "h1", Zone: "z1", Reason: "AuthorityStale", ConfigRevision: 7, Hosts: []wire.HostStatus{{Host: "h1", Alive: true}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestStatusGivesUp(t *testing.T) {
	cases := map[string]bool{"reducer busy": true, "reducer ended": false}
	for name, posted := range cases {
		t.Run(name, func(t *testing.T) {
			g := &admin.StatusCollector{Post: func(event.Event) bool { return posted }}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			if _, err := g.Status(ctx); kinds.KindOf(err) != kinds.NotReady {
				t.Errorf("Status() = %v, want kind NotReady", err)
			}
		})
	}
}

func TestReadCredential(t *testing.T) {
	cases := map[string]struct {
		text string
		want string
		kind kinds.Kind
	}{
		"good":  {text: " " + credential + "\r\nnote\n", want: credential},
		"short": {text: "abc\n", kind: kinds.ConfigInvalid},
		"empty": {kind: kinds.ConfigInvalid},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "credential")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := admin.ReadCredential(file)
			if got != c.want || kinds.KindOf(err) != c.kind {
				t.Errorf("ReadCredential() = %q, %v", got, err)
			}
		})
	}
}
