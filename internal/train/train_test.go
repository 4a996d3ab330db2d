package train

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"github.com/figshift/figshift/internal/block"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// unavailableStore fails every call with kind StoreUnavailable.
type unavailableStore struct{}

func (unavailableStore) Put(context.Context, string, []byte) error {
	return kinds.New(kinds.StoreUnavailable, "")
}

func (unavailableStore) Get(context.Context, string) ([]byte, error) {
	return nil, kinds.New(kinds.StoreUnavailable, "")
}

func (unavailableStore) Delete(context.Context, string) error {
	return kinds.New(kinds.StoreUnavailable, "")
}

// daemon answers calls in place of the reducer and the rollout's holder.
type daemon struct {
	calls  *Calls
	now    atomic.Int64
	delay  time.Duration // time that passes on the clock between the grant and the hand-over
	kind   kinds.Kind    // of the holder's answer
	values map[string][]byte
}

const goodKey = "key-of-andina"

func (d *daemon) post(ev event.Event) bool {
	switch e := ev.(type) {
	case event.AuthoriseCall:
		a := event.CallAuthorised{Owner: e.Owner, Seq: e.Seq, Organisation: "andina"}
		if e.KeyHash != keys.Hash(goodKey) {
			a = event.CallAuthorised{Owner: e.Owner, Seq: e.Seq, Kind: kinds.KeyUnknown}
		}
		d.calls.Do(a)
	case event.AskDuty:
		d.calls.Do(d.answerHolderCall(e))
	}
	return true
}

func (d *daemon) answerHolderCall(e event.AskDuty) event.AskDone {
	done := event.AskDone{Owner: e.Owner, Seq: e.Seq, Kind: d.kind}
	var call wire.RolloutCall
	_ = json.Unmarshal(e.Body, &call)
	switch e.Call {
	case wire.AskLot:
		done.Body = d.grantBody()
		d.now.Add(int64(d.delay))
	case wire.AskBlock:
		done.Body = d.values[call.Block]
	}
	return done
}

func (d *daemon) grantBody() []byte {
	g := wire.LotGrant{Lot: 1, Attempt: 3, Count: 2, ValidMS: 2000}
	var values [][]byte
	for _, name := range []string{"Blocks/a", "Blocks/b"} {
		g.Blocks = append(g.Blocks, wire.GrantBlock{Name: name, Checksum: block.Checksum(d.values[name])})
		values = append(values, d.values[name])
	}
	g.Checksum = block.Checksum(block.ArrayParts(values)...)
	data, _ := json.Marshal(g)
	return data
}

func newHandler(d *daemon) *Handler {
	d.values = map[string][]byte{"Blocks/a": []byte(`{"ID":"x"}`), "Blocks/b": []byte(`{"ID":"y"}`)}
	d.calls = &Calls{Post: d.post, Now: func() time.Duration { return time.Duration(d.now.Load()) }}
	store := &block.Store{Objects: unavailableStore{}, Texts: &block.Texts{}, Cache: &block.Cache{MaxBytes: 100}}
	store.Do(event.KeepRollout{Spec: []byte(`{"Name":"tariffs"}`)})
	return &Handler{Calls: d.calls, Blocks: store, Scope: tally.NoopScope}
}

func TestHandler(t *testing.T) {
	cases := map[string]struct {
		path, key, body string
		daemon          *daemon
		status          int
		kind            kinds.Kind
	}{
		"a lot, its blocks from the holder": {"tariffs/lots", goodKey, `{"Consumer":"c"}`, &daemon{}, 200, ""},
		"a grant that ran out":              {"tariffs/lots", goodKey, `{"Consumer":"c"}`, &daemon{delay: 3 * time.Second}, 503, kinds.LotNotReady},
		"a lot that is not ready":           {"tariffs/lots", goodKey, `{"Consumer":"c"}`, &daemon{kind: kinds.LotNotReady}, 503, kinds.LotNotReady},
		"no key":                            {"tariffs/lots", "", `{}`, &daemon{}, 401, kinds.KeyMissing},
		"an unknown key":                    {"tariffs/lots", "other", `{}`, &daemon{}, 401, kinds.KeyUnknown},
		"no JSON":                           {"tariffs/lots", goodKey, `{`, &daemon{}, 400, kinds.BadRequest},
		"no such call":                      {"tariffs/newest", goodKey, `{}`, &daemon{}, 404, kinds.RouteUnknown},
		"no such rollout":                   {"letters/lots", goodKey, `{}`, &daemon{}, 404, kinds.NotFound},
		"a publish":                         {"tariffs/versions", goodKey, `{"Version":2}`, &daemon{}, 200, ""},
		"a release":                         {"tariffs/release", goodKey, `{}`, &daemon{kind: kinds.ConsumerHeld}, 409, kinds.ConsumerHeld},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHandler(c.daemon)
			r := httptest.NewRequest(http.MethodPost, wire.PathRollouts+c.path, strings.NewReader(c.body))
			if c.key != "" {
				r.Header.Set("Authorization", "Bearer "+c.key)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			got := []any{w.Code, kinds.Kind(w.Header().Get(wire.HeaderKind))}
			if diff := cmp.Diff([]any{c.status, c.kind}, got); diff != "" {
				t.Errorf("%s\n%s", diff, w.Body)
			}
			if retry := w.Header().Get("Retry-After"); (retry != "") != (c.kind != "" && kinds.AnswerFor(c.kind).RetryAfter) {
				t.Errorf("Retry-After %q with kind %q", retry, c.kind)
			}
		})
	}
}

// TestLotOfBlocks checks a lot that is assembled from two blocks, and its checksum.
func TestLotOfBlocks(t *testing.T) {
	h := newHandler(&daemon{})
	r := httptest.NewRequest(http.MethodPost, wire.PathRollouts+"tariffs/lots", strings.NewReader(`{"Consumer":"c"}`))
	r.Header.Set("X-Api-Key", goodKey)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var got struct {
		wire.Lot
		Samples json.RawMessage
	}
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(`[{"ID":"x"},{"ID":"y"}]`, string(got.Samples)); diff != "" || block.Checksum(got.Samples) != got.Checksum {
		t.Errorf("checksum %s, %s", got.Checksum, diff)
	}
	if diff := cmp.Diff([]any{uint64(1), uint64(3), 2}, []any{got.Lot.Lot, got.Attempt, got.Count}); diff != "" {
		t.Error(diff)
	}
}
