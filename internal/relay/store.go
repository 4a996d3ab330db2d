package relay

import (
	"bytes"
	"context"
	"io"
	"maps"
	"math/rand/v2"
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
	// Path is the URL path of a call on behalf of another host.
	Path = "/store"
	// HeaderSecret is the header with the hosts' shared secret.
	HeaderSecret = "X-Figshift-Secret"
	// relayTimeout is the timeout of a call through one other host.
	relayTimeout = 700 * time.Millisecond
	// maxRelays is the maximum number of other hosts that are tried for one call.
	maxRelays = 3
	// failPause is the time for which a host through which a call failed comes after the others.
	failPause = 2 * time.Second
	// probeInterval is the interval at which a probe calls the store directly while direct calls fail.
	probeInterval = time.Second
	// probeTimeout is the timeout of such a probe.
	probeTimeout = time.Second
	// maxAnswerBytes is the maximum size of an answer.
	maxAnswerBytes = 64 << 20
)

// call is a call to the store on behalf of another host.
type call struct {
	Op      string
	Name    string // name of the object, or prefix of a list
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

// answer is the result of a call.
type answer struct {
	Kind   kinds.Kind
	Object wire.Object
	List   wire.ObjectList
}

// Store calls the object API directly, or through other hosts while direct calls fail. Its exported fields are set
// before use; its methods may be called concurrently and return the errors that are documented at objapi.Store.
type Store struct {
	Direct objapi.Store
	Hosts  *HostAddresses
	Secret string
	HTTP   http.RoundTripper
	Log    *zap.Logger
	// Observe is called with the operation, outcome and duration of each call; nil for none.
	Observe func(call string, kind kinds.Kind, took time.Duration)

	mu            sync.Mutex
	directFailing bool                 // whether the last direct call failed
	lastProbe     time.Time            // time of the last probe while direct calls fail
	preferred     string               // address of the host that answered last
	failedAt      map[string]time.Time // when a host last got no answer from the store, by address
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

// ListDirect returns the objects under prefix by a direct call. It is refused at once while direct calls fail.
func (s *Store) ListDirect(ctx context.Context, prefix string) (wire.ObjectList, error) {
	if !s.useDirect() {
		return wire.ObjectList{}, kinds.New(kinds.StoreRefused, "direct calls fail")
	}
	list, err := s.Direct.List(ctx, prefix)
	s.recordOutcome(kinds.KindOf(err))
	return list, err
}

// Watch calls the store directly only: while that fails, the hosts that do watch push the changes.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.ObjectList, error) {
	list, err := s.Direct.Watch(ctx, prefix, after, wait)
	return list, err
}

// Endpoints calls the store directly only.
func (s *Store) Endpoints(ctx context.Context) (wire.EndpointList, error) {
	return s.Direct.Endpoints(ctx)
}

// do makes a call and reports its outcome to Observe.
func (s *Store) do(ctx context.Context, c call) (answer, error) {
	start := time.Now()
	send := s.dispatch
	if c.Op == opList {
		send = s.list
	}
	a, err := send(ctx, c)
	if s.Observe != nil {
		s.Observe(c.Op, kinds.KindOf(err), time.Since(start))
	}
	return a, err
}

// dispatch makes a call directly if direct calls work, and through other hosts otherwise. It does not repeat a write
// whose outcome is unknown: its caller reads the object before it goes on.
func (s *Store) dispatch(ctx context.Context, c call) (answer, error) {
	if s.useDirect() {
		a, err := execute(ctx, s.Direct, c)
		kind := kinds.KindOf(err)
		if ctx.Err() != context.Canceled { // a caller that leaves says nothing about the store
			s.recordOutcome(kind)
		}
		if kind != kinds.StoreRefused && (kind != kinds.StoreUnavailable || c.Op == opPut || c.Op == opDelete) {
			return a, err
		}
		if ctx.Err() != nil {
			return a, err
		}
	}
	return s.relay(ctx, c)
}

// useDirect reports whether to call the store directly first. While direct calls fail, it starts a probe at
// intervals of probeInterval.
func (s *Store) useDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directFailing {
		return true
	}
	if time.Since(s.lastProbe) >= probeInterval {
		s.lastProbe = time.Now()
		go s.probe()
	}
	return false
}

// Serves reports whether direct calls work, as far as known. It may be called concurrently.
func (s *Store) Serves() bool { return s.useDirect() }

// probe tests direct calls by reading an object that need not exist.
func (s *Store) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := s.Direct.Get(ctx, wire.PrefixOwners+"probe")
	s.recordOutcome(kinds.KindOf(err))
}

func (s *Store) recordOutcome(kind kinds.Kind) {
	directFailing := isFailure(kind)
	s.mu.Lock()
	changed := s.directFailing != directFailing
	if changed && directFailing {
		s.lastProbe = time.Now()
	}
	s.directFailing = directFailing
	s.mu.Unlock()
	if changed {
		s.Log.Info("StoreWay", zap.Bool("Own", !directFailing), zap.String("Kind", string(kind)))
	}
}

// relay makes a call through other hosts, starting with the one that answered last. A host whose own direct call fails
// has not made the call.
func (s *Store) relay(ctx context.Context, c call) (answer, error) {
	last := answer{Kind: kinds.StoreRefused}
	for _, address := range s.candidates(maxRelays, false) {
		a, sent := s.callHost(ctx, address, c)
		s.noteRelay(address, a.Kind)
		if !sent {
			continue
		}
		if a.Kind == kinds.StoreUnavailable && (c.Op == opPut || c.Op == opDelete) {
			return a, answerError(a, c)
		}
		if !isFailure(a.Kind) {
			return a, answerError(a, c)
		}
		last = a
	}
	return last, answerError(last, c)
}

func answerError(a answer, c call) error {
	if a.Kind == "" {
		return nil
	}
	return kinds.New(a.Kind, "%s %s through another host", c.Op, c.Name)
}

// isFailure reports whether a kind says that the store has not answered.
func isFailure(kind kinds.Kind) bool {
	return kind == kinds.StoreRefused || kind == kinds.StoreUnavailable
}

// noteRelay records whether the store has answered a call through a host.
func (s *Store) noteRelay(address string, kind kinds.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isFailure(kind) {
		s.preferred = address
		delete(s.failedAt, address)
		return
	}
	if s.preferred == address {
		s.preferred = ""
	}
	if s.failedAt == nil {
		s.failedAt = map[string]time.Time{}
	}
	s.failedAt[address] = time.Now()
}

// candidates returns at most the given number of hosts to try: the one that answered last, then the others, and those that have failed within failPause at
// the end, the one that failed first before the others. The others are sorted by name, or mixed, so that hosts that call at the same
// time don't all ask the same ones.
func (s *Store) candidates(most int, mixed bool) []string {
	all := s.Hosts.addresses()
	if mixed {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.failedAt, func(_ string, at time.Time) bool { return time.Since(at) > failPause })
	slices.SortStableFunc(all, func(a, b string) int {
		switch s.preferred {
		case a:
			return -1
		case b:
			return 1
		}
		return s.failedAt[a].Compare(s.failedAt[b])
	})
	return all[:min(len(all), most)]
}

// callHost makes a call through one host; sent is false if that host certainly did not make the call.
func (s *Store) callHost(ctx context.Context, address string, c call) (a answer, sent bool) {
	body, err := msgpack.Marshal(c)
	if err != nil {
		return answer{Kind: kinds.Internal}, true
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return answer{Kind: kinds.Internal}, true
	}
	req.GetBody = nil
	req.Header.Set(HeaderSecret, s.Secret)
	resp, err := s.HTTP.RoundTrip(req)
	if err != nil {
		return answer{Kind: kinds.StoreUnavailable}, !conns.IsDialError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil || resp.StatusCode != http.StatusOK || msgpack.Unmarshal(data, &a) != nil {
		return answer{Kind: kinds.StoreUnavailable}, resp.StatusCode == http.StatusOK
	}
	return a, true
}

// execute makes a call directly to a store.
func execute(ctx context.Context, store objapi.Store, c call) (answer, error) {
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
	a.Kind = kinds.KindOf(err)
	return a, err
}
