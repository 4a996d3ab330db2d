package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/objapi"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// Path is that of a call on behalf of another host.
	Path = "/store"
	// HeaderSecret carries the shared secret of the hosts.
	HeaderSecret = "X-Figshift-Secret"
	// hopTimeout bounds a call through one other host.
	hopTimeout = 700 * time.Millisecond
	// mostHops is the number of other hosts that are tried for one call.
	mostHops = 3
	// probeEvery is the interval at which the own way to the store is tried while it fails.
	probeEvery = time.Second
	// probeTimeout bounds such a try.
	probeTimeout = time.Second
	// answerMost bounds an answer in bytes.
	answerMost = 64 << 20
)

// call is one call to the store on behalf of another host.
type call struct {
	Op      string
	Name    string // of the object, or the prefix of a list
	Put     wire.ObjectPut
	Version uint64
}

// The operations of a call.
const (
	opGet    = "Get"
	opPut    = "Put"
	opDelete = "Delete"
	opList   = "List"
)

// answer is what a call gave.
type answer struct {
	Kind   kinds.Kind
	Object wire.Object
	List   wire.ObjectList
}

// Store is the object API by the own way, and by way of other hosts while that fails. Its exported fields are set before
// use; its methods may be called concurrently and return the errors that objapi.Store tells of.
type Store struct {
	Own    objapi.Store
	Book   *Book
	Secret string
	HTTP   http.RoundTripper
	Log    *zap.Logger
	// Observe is called with the name, outcome and time of each call, nil for none.
	Observe func(call string, kind kinds.Kind, took time.Duration)

	mu     sync.Mutex
	away   bool      // the own way failed last
	probed time.Time // when the own way was last tried while away
	good   string    // host that answered last
}

// Get returns the object called name.
func (s *Store) Get(ctx context.Context, name string) (wire.Object, error) {
	a, err := s.do(ctx, call{Op: opGet, Name: name})
	return a.Object, err
}

// Put writes an object if its stored version is still put.Version.
func (s *Store) Put(ctx context.Context, put wire.ObjectPut) (wire.Object, error) {
	a, err := s.do(ctx, call{Op: opPut, Name: put.Name, Put: put})
	return a.Object, err
}

// Delete removes an object if its stored version is still version.
func (s *Store) Delete(ctx context.Context, name string, version uint64) error {
	_, err := s.do(ctx, call{Op: opDelete, Name: name, Version: version})
	return err
}

// List returns the objects under prefix.
func (s *Store) List(ctx context.Context, prefix string) (wire.ObjectList, error) {
	a, err := s.do(ctx, call{Op: opList, Name: prefix})
	return a.List, err
}

// Watch goes by the own way only: while that fails, the hosts that watch push what changes.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.ObjectList, error) {
	list, err := s.Own.Watch(ctx, prefix, after, wait)
	return list, err
}

// Endpoints goes by the own way only.
func (s *Store) Endpoints(ctx context.Context) (wire.EndpointList, error) {
	return s.Own.Endpoints(ctx)
}

// do makes a call and tells how it went.
func (s *Store) do(ctx context.Context, c call) (answer, error) {
	began := time.Now()
	a, err := s.carryOut(ctx, c)
	if s.Observe != nil {
		s.Observe(c.Op, kinds.From(err), time.Since(began))
	}
	return a, err
}

// carryOut makes a call by the own way while that works. A write whose outcome is not known is not repeated here: its caller
// reads before it goes on.
func (s *Store) carryOut(ctx context.Context, c call) (answer, error) {
	if s.takesOwn() {
		a, err := perform(ctx, s.Own, c)
		kind := kinds.From(err)
		s.note(kind)
		if kind != kinds.StoreRefused && (kind != kinds.StoreUnavailable || c.Op == opPut || c.Op == opDelete) {
			return a, err
		}
		if ctx.Err() != nil {
			return a, err
		}
	}
	return s.through(ctx, c)
}

// takesOwn reports whether to try the own way first; while it fails, a try goes on beside the calls.
func (s *Store) takesOwn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		return true
	}
	if time.Since(s.probed) >= probeEvery {
		s.probed = time.Now()
		go s.probe()
	}
	return false
}

// probe tries the own way by a read of an object that need not exist.
func (s *Store) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := s.Own.Get(ctx, wire.PrefixOwners+"probe")
	s.note(kinds.From(err))
}

func (s *Store) note(kind kinds.Kind) {
	away := kind == kinds.StoreRefused || kind == kinds.StoreUnavailable
	s.mu.Lock()
	changed := s.away != away
	if changed && away {
		s.probed = time.Now()
	}
	s.away = away
	s.mu.Unlock()
	if changed {
		s.Log.Info("StoreWay", zap.Bool("Own", !away), zap.String("Kind", string(kind)))
	}
}

// through makes a call by way of the other hosts, the one that answered last first. A host whose own way fails too
// did not make the call.
func (s *Store) through(ctx context.Context, c call) (answer, error) {
	last := answer{Kind: kinds.StoreRefused}
	for _, address := range s.order() {
		a, sent := s.hop(ctx, address, c)
		if !sent {
			continue
		}
		if a.Kind == kinds.StoreUnavailable && (c.Op == opPut || c.Op == opDelete) {
			return a, errorOf(a, c)
		}
		if a.Kind != kinds.StoreRefused && a.Kind != kinds.StoreUnavailable {
			s.mu.Lock()
			s.good = address
			s.mu.Unlock()
			return a, errorOf(a, c)
		}
		last = a
	}
	return last, errorOf(last, c)
}

func errorOf(a answer, c call) error {
	if a.Kind == "" {
		return nil
	}
	return kinds.New(a.Kind, "%s %s by way of another host", c.Op, c.Name)
}

func (s *Store) order() []string {
	all := s.Book.addresses()
	s.mu.Lock()
	good := s.good
	s.mu.Unlock()
	if i := slices.Index(all, good); i > 0 {
		all[0], all[i] = all[i], all[0]
	}
	return all[:min(len(all), mostHops)]
}

// hop makes a call by way of one host; sent is false when that host certainly did not make it.
func (s *Store) hop(ctx context.Context, address string, c call) (a answer, sent bool) {
	body, err := msgpack.Marshal(c)
	if err != nil {
		return answer{Kind: kinds.Internal}, true
	}
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return answer{Kind: kinds.Internal}, true
	}
	req.GetBody = nil
	req.Header.Set(HeaderSecret, s.Secret)
	resp, err := s.HTTP.RoundTrip(req)
	if err != nil {
		return answer{Kind: kinds.StoreUnavailable}, !conns.Unsent(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, answerMost))
	if err != nil || resp.StatusCode != http.StatusOK || msgpack.Unmarshal(text, &a) != nil {
		return answer{Kind: kinds.StoreUnavailable}, resp.StatusCode == http.StatusOK
	}
	return a, true
}

// perform makes a call.
func perform(ctx context.Context, store objapi.Store, c call) (answer, error) {
	var a answer
	var err error
	switch c.Op {
	case opGet:
		a.Object, err = store.Get(ctx, c.Name)
	case opPut:
		a.Object, err = store.Put(ctx, c.Put)
	case opDelete:
		err = store.Delete(ctx, c.Name, c.Version)
	case opList:
		a.List, err = store.List(ctx, c.Name)
	default:
		err = kinds.New(kinds.BadRequest, "unknown operation %q", c.Op)
	}
	a.Kind = kinds.From(err)
	return a, err
}
