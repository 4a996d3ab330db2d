package estate

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"
)

// Ways in which the platform turns a host away.
const (
	Silent     = "silent"      // calls get no answer
	Busy       = "busy"        // status 503
	LateBusy   = "late busy"   // status 503 after lateAnswer
	LateMany   = "late many"   // status 429 after lateAnswer
	LateReset  = "late reset"  // the connection is reset after lateAnswer
	LateAnswer = "late answer" // answered as the store was when the call came, after lateAnswer
)

// lateAnswer is the time after which a call that is turned away late ends.
const lateAnswer = 900 * time.Millisecond

// Door is one host's way to the platform. It may be used concurrently.
type Door struct {
	Address string

	mu       sync.Mutex
	disorder string
	lists    map[string]int
}

// OpenDoor starts a listener that passes calls on to the platform. It ends with the platform.
func (p *Platform) OpenDoor() (*Door, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Door{Address: listener.Addr().String(), lists: map[string]int{}}
	others := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: p.address})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, objectsPath) {
			others.ServeHTTP(w, r)
			return
		}
		d.serve(w, r, &p.Store)
	})}
	go func() { _ = server.Serve(listener) }()
	p.stopFuncs = append(p.stopFuncs, func() { _ = server.Close() })
	return d, nil
}

// TurnAway turns the host's calls away in one of the ways above, pending ones included; "" serves it again.
func (d *Door) TurnAway(disorder string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disorder = disorder
}

// ResetLists forgets the lists that were counted so far.
func (d *Door) ResetLists() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lists = map[string]int{}
}

// Lists returns the number of lists of each kind.
func (d *Door) Lists() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.lists)
}

func (d *Door) serve(w http.ResponseWriter, r *http.Request, store *Store) {
	if r.Method == http.MethodGet && !r.URL.Query().Has("watch") {
		d.mu.Lock()
		d.lists[strings.TrimPrefix(r.URL.Path, objectsPath)]++
		d.mu.Unlock()
	}
	if disorder := d.current(); disorder != "" && disorder != LateAnswer {
		end(w, r, disorder)
		return
	}
	answer := httptest.NewRecorder()
	store.ServeHTTP(answer, r)
	disorder := d.current()
	if disorder == LateAnswer && !r.URL.Query().Has("watch") {
		time.Sleep(lateAnswer)
		disorder = ""
	}
	if disorder != "" { // it began while the call waited
		end(w, r, disorder)
		return
	}
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // the caller may have disconnected
}

func (d *Door) current() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.disorder
}

// end ends a call without an answer of the store.
func end(w http.ResponseWriter, r *http.Request, disorder string) {
	if slices.Contains([]string{LateBusy, LateMany, LateReset}, disorder) {
		time.Sleep(lateAnswer)
	}
	switch disorder {
	case Silent, LateAnswer:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Busy, LateBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case LateMany:
		w.WriteHeader(http.StatusTooManyRequests)
	case LateReset:
		panic(http.ErrAbortHandler)
	default:
		panic(fmt.Sprintf("unknown way to turn a host away: %q", disorder))
	}
}
