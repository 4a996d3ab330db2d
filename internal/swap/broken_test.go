package swap

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// An engine in trouble answered with a redirect, and the order went on to the engine that it named.
func TestRedirectedCallsStayAtTheirEngine(t *testing.T) {
	for name, path := range map[string]string{"Order": wire.PathSwap, "State": wire.PathState} {
		t.Run(name, func(t *testing.T) {
			other, stub := &engineStub{}, &engineStub{}
			otherServer := httptest.NewServer(other)
			defer otherServer.Close()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == path {
					http.Redirect(w, r, otherServer.URL+r.URL.Path, http.StatusTemporaryRedirect)
					return
				}
				stub.ServeHTTP(w, r)
			}))
			defer server.Close()
			if kind := swapAt(server.URL); kind != kinds.EndpointRefused {
				t.Errorf("kind %q, want %q", kind, kinds.EndpointRefused)
			}
			if n := other.orderCount(); n > 0 {
				t.Errorf("%d orders reached another engine", n)
			}
		})
	}
}

// An engine's head without end was read up to 10 MiB.
func TestEndlessHeadOfAState(t *testing.T) {
	const headBytes = 1 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-More", strings.Repeat("m", headBytes))
		(&engineStub{state: wire.EngineState{Version: 2}}).ServeHTTP(w, r)
	}))
	defer server.Close()
	if kind := swapAt(server.URL); kind == "" {
		t.Errorf("a head of %d bytes was read", headBytes)
	}
}

// swapAt orders version 2 at the engine of a server, which is the weight store too.
func swapAt(url string) kinds.Kind {
	done := make(chan event.EngineSwapped, 1)
	x := &Executor{PlatformURL: url, Now: func() time.Duration { return time.Second }}
	x.Post = func(ev event.Event) bool {
		done <- ev.(event.EngineSwapped)
		return true
	}
	x.Do(event.SwapEngine{OrderID: "o", Endpoint: "e", Address: strings.TrimPrefix(url, "http://"), Version: 2, Before: time.Minute, Timeout: time.Second})
	return (<-done).Kind
}
