package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const testSecret = "s"

// stubStore answers every call with the same kind and counts the calls.
type stubStore struct {
	kind  kinds.Kind
	calls int
}

func (s *stubStore) err() error {
	s.calls++
	if s.kind == "" {
		return nil
	}
	return kinds.New(s.kind, "stubbed answer")
}

func (s *stubStore) Get(_ context.Context, name string) (wire.Object, error) {
	return wire.Object{Name: name}, s.err()
}

func (s *stubStore) Put(_ context.Context, put wire.ObjectPut) (wire.Object, error) {
	return wire.Object{Name: put.Name, Writer: put.Writer}, s.err()
}

func (s *stubStore) Delete(context.Context, string, uint64) error { return s.err() }

func (s *stubStore) List(context.Context, string) (wire.ObjectList, error) {
	return wire.ObjectList{Revision: 3}, s.err()
}

func (s *stubStore) Watch(context.Context, string, uint64, time.Duration) (wire.ObjectList, error) {
	return wire.ObjectList{}, s.err()
}

func (s *stubStore) Endpoints(context.Context) (wire.EndpointList, error) {
	return wire.EndpointList{}, s.err()
}

// addTestHost adds a host that relays to a store which answers with a kind, "silent" for none, and tells when it is asked.
func addTestHost(t *testing.T, s *Store, kind kinds.Kind, asked chan<- struct{}) {
	t.Helper()
	relay := &Server{Direct: &stubStore{kind: kind}, Secret: testSecret}
	if kind == "silent" {
		relay.Direct = &silentLists{}
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		relay.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	s.Hosts.hosts = append(s.Hosts.hosts, hostAddress{name: address, address: address})
}

// newTestStore returns a Store whose direct calls go to own and that can relay calls to a server for each of others.
func newTestStore(t *testing.T, own *stubStore, others ...*stubStore) *Store {
	t.Helper()
	s := &Store{Direct: own, Hosts: &HostAddresses{}, Secret: testSecret, HTTP: &http.Transport{}, Log: zap.NewNop()}
	for i, o := range others {
		mux := http.NewServeMux()
		mux.Handle(Path, &Server{Direct: o, Secret: testSecret})
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		s.Hosts.hosts = append(s.Hosts.hosts, hostAddress{name: strconv.Itoa(i), address: server.Listener.Addr().String()})
	}
	return s
}

// The store refuses this host, or is cut off from it, and serves the other hosts.
func TestCallsThroughOtherHosts(t *testing.T) {
	cases := map[string]struct {
		own    kinds.Kind
		others []kinds.Kind
		want   kinds.Kind
		calls  []int // number of calls at each other host
	}{
		"direct call works":       {"", []kinds.Kind{""}, "", []int{0}},
		"direct answer is final":  {kinds.Conflict, []kinds.Kind{""}, kinds.Conflict, []int{0}},
		"refused":                 {kinds.StoreRefused, []kinds.Kind{""}, "", []int{1}},
		"one other refused too":   {kinds.StoreRefused, []kinds.Kind{kinds.StoreRefused, ""}, "", []int{1, 1}},
		"all refused":             {kinds.StoreRefused, []kinds.Kind{kinds.StoreRefused, kinds.StoreRefused}, kinds.StoreRefused, []int{1, 1}},
		"other's answer is final": {kinds.StoreRefused, []kinds.Kind{kinds.Conflict, ""}, kinds.Conflict, []int{1, 0}},
		// The write may have been done: its caller reads the object before it writes again.
		"direct outcome unknown":  {kinds.StoreUnavailable, []kinds.Kind{""}, kinds.StoreUnavailable, []int{0}},
		"other's outcome unknown": {kinds.StoreRefused, []kinds.Kind{kinds.StoreUnavailable, ""}, kinds.StoreUnavailable, []int{1, 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var others []*stubStore
			for _, k := range c.others {
				others = append(others, &stubStore{kind: k})
			}
			s := newTestStore(t, &stubStore{kind: c.own}, others...)
			_, err := s.Put(context.Background(), wire.ObjectPut{Name: "Lots/a"})
			if got := kinds.KindOf(err); got != c.want {
				t.Errorf("kind %q, want %q", got, c.want)
			}
			var calls []int
			for _, o := range others {
				calls = append(calls, o.calls)
			}
			if diff := cmp.Diff(c.calls, calls); diff != "" {
				t.Errorf("calls of the others (-want +got):\n%s", diff)
			}
		})
	}
}

// While the store was silent to some hosts, each write began with the first of the others by name. When that one was turned away too,
// every write ended there with an unknown outcome.
func TestWritesGoOnThroughTheNextHost(t *testing.T) {
	silent, served := &stubStore{kind: kinds.StoreUnavailable}, &stubStore{}
	s := newTestStore(t, &stubStore{kind: kinds.StoreRefused}, silent, served)
	var got []kinds.Kind
	for range 3 {
		_, err := s.Put(context.Background(), wire.ObjectPut{Name: "Lots/a"})
		got = append(got, kinds.KindOf(err))
	}
	if diff := cmp.Diff([]kinds.Kind{kinds.StoreUnavailable, "", ""}, got); diff != "" {
		t.Errorf("outcomes of three writes (-want +got):\n%s", diff)
	}
	served.kind, silent.kind = kinds.StoreUnavailable, ""
	got = nil
	for range 2 {
		_, err := s.Put(context.Background(), wire.ObjectPut{Name: "Lots/a"})
		got = append(got, kinds.KindOf(err))
	}
	if diff := cmp.Diff([]kinds.Kind{kinds.StoreUnavailable, ""}, got); diff != "" {
		t.Errorf("outcomes of two writes after the hosts have changed places (-want +got):\n%s", diff)
	}
}

// A host that was turned away itself made the calls of others all the same, and so left their outcome unknown.
func TestHostThatIsNotServedRefusesAtOnce(t *testing.T) {
	first, second := &stubStore{kind: kinds.StoreUnavailable}, &stubStore{}
	s := newTestStore(t, &stubStore{kind: kinds.StoreRefused}, second)
	mux := http.NewServeMux()
	mux.Handle(Path, &Server{Direct: first, Secret: testSecret, Serves: func() bool { return false }})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	s.Hosts.hosts = append([]hostAddress{{name: "-", address: server.Listener.Addr().String()}}, s.Hosts.hosts...)
	_, err := s.Put(context.Background(), wire.ObjectPut{Name: "Lots/a"})
	if diff := cmp.Diff([]int{0, 1}, []int{first.calls, second.calls}); diff != "" || err != nil {
		t.Errorf("error %v, calls (-want +got):\n%s", err, diff)
	}
}

// A read whose answer was lost on the direct call is repeated through another host.
func TestReadWithLostAnswerIsRelayed(t *testing.T) {
	s := newTestStore(t, &stubStore{kind: kinds.StoreUnavailable}, &stubStore{})
	if o, err := s.Get(context.Background(), "Lots/a"); err != nil || o.Name != "Lots/a" {
		t.Errorf("Get() = %v, %v", o, err)
	}
}

func TestUnreachableHostIsSkipped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	other := &stubStore{}
	s := newTestStore(t, &stubStore{kind: kinds.StoreRefused}, other)
	s.Hosts.hosts = append([]hostAddress{{name: "unreachable", address: listener.Addr().String()}}, s.Hosts.hosts...)
	if _, err := s.Put(context.Background(), wire.ObjectPut{Name: "Lots/a"}); err != nil || other.calls != 1 {
		t.Errorf("Put() error %v after %d calls of the other host", err, other.calls)
	}
}

// Once the store serves this host again, calls must go to it directly.
func TestDirectPathIsRetried(t *testing.T) {
	own, other := &stubStore{kind: kinds.StoreRefused}, &stubStore{}
	s := newTestStore(t, own, other)
	if _, err := s.Get(context.Background(), "a/a"); err != nil {
		t.Fatal(err)
	}
	own.kind = ""
	s.probe()
	other.calls = 0
	if _, err := s.Get(context.Background(), "a/a"); err != nil || other.calls != 0 {
		t.Errorf("Get() error %v, %d calls through the other host, want 0", err, other.calls)
	}
}

func TestWrongSecretIsRefused(t *testing.T) {
	own, other := &stubStore{kind: kinds.StoreRefused}, &stubStore{}
	s := newTestStore(t, own, other)
	s.Secret = "wrong"
	if _, err := s.Get(context.Background(), "a/a"); kinds.KindOf(err) != kinds.StoreRefused || other.calls != 0 {
		t.Errorf("Get() error %v after %d calls", err, other.calls)
	}
}

func TestHostAddressesKeepTheKnownHosts(t *testing.T) {
	b := &HostAddresses{Port: 7}
	b.Do(event.KnowHosts{Hosts: []event.Host{{Name: "h2", Address: "127.0.0.2:1"}, {Name: "h1", Address: "127.0.0.1:1"}}})
	if diff := cmp.Diff([]string{"127.0.0.1:7", "127.0.0.2:7"}, b.addresses()); diff != "" {
		t.Errorf("addresses (-want +got):\n%s", diff)
	}
	if got := b.Address("h2"); got != "127.0.0.2:7" {
		t.Errorf("Address() = %q", got)
	}
}

func TestCallsAreObserved(t *testing.T) {
	seen := map[string]int{}
	s := newTestStore(t, &stubStore{kind: kinds.NotFound})
	s.Observe = func(call string, kind kinds.Kind, took time.Duration) {
		if took <= 0 {
			t.Errorf("call %s took %s", call, took)
		}
		seen[call+" "+string(kind)]++
	}
	_, _ = s.Get(context.Background(), "a")
	_, _ = s.List(context.Background(), "b")
	if diff := cmp.Diff(map[string]int{"Get NotFound": 1, "List NotFound": 1}, seen); diff != "" {
		t.Errorf("calls observed (-want +got):\n%s", diff)
	}
}
