package block

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/objapi"
	"github.com/figshift/figshift/internal/wire"
)

// objectServer is a minimal object API that counts the calls and the bytes written.
type objectServer struct {
	mu          sync.Mutex
	values      map[string]wire.Object
	calls       int
	bytes       int
	lostAnswers int // number of writes whose answer is lost after they took effect
}

// ServeHTTP answers GET, PUT and DELETE of one object.
func (o *objectServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
	name := r.URL.Query().Get("Name")
	stored, ok := o.values[name]
	switch r.Method {
	case http.MethodPut:
		o.put(w, r, ok)
	case http.MethodDelete:
		delete(o.values, name)
		if !ok {
			w.WriteHeader(http.StatusNotFound)
		}
	case http.MethodGet:
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(stored)
	}
}

func (o *objectServer) put(w http.ResponseWriter, r *http.Request, exists bool) {
	body, _ := io.ReadAll(r.Body)
	o.bytes += len(body)
	if exists {
		w.WriteHeader(http.StatusConflict)
		return
	}
	var put wire.ObjectPut
	if json.Unmarshal(body, &put) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.values[put.Name] = wire.Object{Name: put.Name, Version: 1, Value: put.Value}
	if o.lostAnswers > 0 {
		o.lostAnswers--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(o.values[put.Name])
}

func newClient(t *testing.T, o *objectServer) *Client {
	t.Helper()
	o.values = map[string]wire.Object{}
	server := httptest.NewServer(o)
	t.Cleanup(server.Close)
	return &Client{Store: &objapi.Client{Base: server.URL, HTTP: server.Client()}}
}

func newSamples(n, length int) []wire.Sample {
	all := make([]wire.Sample, n)
	for i := range all {
		ref := event.SampleRef{Rollout: "r", Lot: 1, Attempt: 2, Group: i / 8, Index: i % 8}
		all[i] = wire.Sample{ID: SampleID(ref), Group: ref.Group, Index: ref.Index, Text: strings.Repeat("x", length), Versions: []uint64{3}}
	}
	return all
}

func TestPack(t *testing.T) {
	cases := map[string]struct {
		samples, length, size int
		blocks                int
		kind                  kinds.Kind
	}{
		"none":       {0, 0, MaxBytes, 0, ""},
		"one block":  {16, 100, MaxBytes, 1, ""},
		"two blocks": {100, 10000, MaxBytes, 2, ""},
		"one each":   {5, 100, 1, 5, ""},
		"too large":  {1, MaxBytes, MaxBytes, 0, kinds.BodyTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			samples := newSamples(c.samples, c.length)
			blocks, checksum, err := Pack(event.LotRef{Rollout: "r", Lot: 1, Attempt: 2}, samples, c.size)
			if diff := cmp.Diff([]any{c.blocks, c.kind}, []any{len(blocks), kinds.KindOf(err)}); diff != "" {
				t.Fatal(diff)
			}
			if err != nil {
				return
			}
			values := make([][]byte, len(blocks))
			for i, b := range blocks {
				values[i] = b.Value
				if b.Ref.Checksum != Checksum(b.Value) || len(b.Value) > MaxBytes {
					t.Errorf("block %+v has %d bytes", b.Ref, len(b.Value))
				}
			}
			all := bytes.Join(ArrayParts(values), nil)
			got := []wire.Sample{}
			if err := json.Unmarshal(all, &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(samples, got); diff != "" || Checksum(all) != checksum {
				t.Errorf("checksum %s, %s", checksum, diff)
			}
		})
	}
}

// TestPutWithALostAnswer checks that a put succeeds when an earlier one, whose answer was lost, has stored the same value,
// and fails when another value is stored.
func TestPutWithALostAnswer(t *testing.T) {
	o := &objectServer{lostAnswers: 1}
	c := newClient(t, o)
	got := []kinds.Kind{
		kinds.KindOf(c.Put(context.Background(), "Blocks/a", []byte("1"))),
		kinds.KindOf(c.Put(context.Background(), "Blocks/a", []byte("1"))),
		kinds.KindOf(c.Put(context.Background(), "Blocks/a", []byte("2"))),
		kinds.KindOf(c.Delete(context.Background(), "Blocks/b")),
	}
	if diff := cmp.Diff([]kinds.Kind{kinds.StoreUnavailable, "", kinds.Conflict, kinds.NotFound}, got); diff != "" {
		t.Error(diff)
	}
}

// TestCallsOfALot compares the object calls and bytes of a lot in blocks with those of one object for each sample.
func TestCallsOfALot(t *testing.T) {
	const length = 2000
	for _, n := range []int{64, 512, 4096} {
		calls := map[int]int{}
		for _, size := range []int{MaxBytes, 1} {
			o := &objectServer{}
			c := newClient(t, o)
			blocks, _, err := Pack(event.LotRef{Rollout: "r", Lot: 1, Attempt: 2}, newSamples(n, length), size)
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range blocks {
				if err := c.Put(context.Background(), b.Ref.Name, b.Value); err != nil {
					t.Fatal(err)
				}
				if err := c.Delete(context.Background(), b.Ref.Name); err != nil {
					t.Fatal(err)
				}
			}
			calls[size] = o.calls
			t.Logf("%d samples of %d bytes in blocks of up to %d: %d calls, %d bytes", n, length, size, o.calls, o.bytes)
		}
		if calls[MaxBytes] >= calls[1] {
			t.Errorf("%d calls with blocks, %d with one object for each sample", calls[MaxBytes], calls[1])
		}
	}
}

func TestCacheEvicts(t *testing.T) {
	c := &Cache{MaxBytes: 10}
	c.Add("a", make([]byte, 6))
	c.Add("b", make([]byte, 4))
	_, _ = c.Get("a")
	c.Add("c", make([]byte, 4))
	var got []string
	for _, name := range []string{"a", "b", "c"} {
		if _, ok := c.Get(name); ok {
			got = append(got, name)
		}
	}
	if diff := cmp.Diff([]string{"a", "c"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestTexts(t *testing.T) {
	spec := wire.RolloutSpec{Name: "r", Model: "m", Groups: 2, Prompts: []string{"p0", "p1", "p2"}, MaxTokens: 5}
	data, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	lot := event.LotRef{Rollout: "r", Lot: 2, Attempt: 7}
	ref := event.SampleRef{Rollout: "r", Lot: 2, Attempt: 7, Group: 1}
	texts := &Texts{}
	texts.addSpec(data)
	if _, ok := texts.Generate(ref); ok {
		t.Error("got a request for a lot that is not open")
	}
	texts.openLot(lot)
	g, ok := texts.Generate(ref)
	if !ok || g.Prompt != "p0" || g.MaxTokens != 5 {
		t.Errorf("%v %+v", ok, g)
	}
	texts.AppendSegment(ref, 1, wire.Segment{Tokens: []string{"a", "b"}})
	texts.AppendSegment(ref, 2, wire.Segment{Tokens: []string{"x"}})
	texts.AppendSegment(ref, 1, wire.Segment{Tokens: []string{"c"}})
	got, ok := texts.samples(lot, []event.FinishedSample{{Ref: ref, Request: 1, Versions: []uint64{4}}})
	want := []wire.Sample{{ID: "r/2/7/1/0", Group: 1, Prompt: "p0", Text: "abc", Versions: []uint64{4}}}
	if diff := cmp.Diff(want, got); diff != "" || !ok {
		t.Error(diff)
	}
	texts.dropLot(lot)
	texts.AppendSegment(ref, 1, wire.Segment{Tokens: []string{"late"}})
	if _, ok := texts.samples(lot, []event.FinishedSample{{Ref: ref, Request: 1}}); ok {
		t.Error("got texts of a dropped lot")
	}
}

// TestRemoveLot deletes the blocks of an attempt without knowing their number.
func TestRemoveLot(t *testing.T) {
	o := &objectServer{}
	c := newClient(t, o)
	lot := event.LotRef{Rollout: "r", Lot: 1, Attempt: 2}
	other := event.LotRef{Rollout: "r", Lot: 1, Attempt: 3}
	for _, name := range []string{ObjectName(lot, 0), ObjectName(lot, 1), ObjectName(other, 0)} {
		if err := c.Put(context.Background(), name, []byte("1")); err != nil {
			t.Fatal(err)
		}
	}
	s := &Store{Objects: c, Post: func(event.Event) bool { return true }}
	s.deleteLot(context.Background(), event.DeleteLot{Lot: lot})
	if _, ok := o.values[ObjectName(other, 0)]; !ok || len(o.values) != 1 {
		t.Errorf("%d objects are left, want only the block of the other attempt", len(o.values))
	}
}
