package serve

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/figshift/figshift/internal/wire"
)

// BenchmarkLookup compares a short lookup through the daemon with one sent directly to the endpoint.
func BenchmarkLookup(b *testing.B) {
	answer := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, "found")
	}
	ep := service(b, "a", answer)
	ts := newTestServer(b, ep)
	for name, url := range map[string]string{"direct": "http://" + ep.Address, "through": ts.url} {
		b.Run(name, func(b *testing.B) { postRepeatedly(b, url+"/lookup") })
	}
}

// BenchmarkGeneration compares a generation of 32 segments through the daemon with one sent directly to the endpoint.
func BenchmarkGeneration(b *testing.B) {
	const segments = 32
	ep := engine(b, "a", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		writeSegments(w, 0, segments, 1)
		_, _ = fmt.Fprintln(w, `{"Done":true}`)
	})
	ts := newTestServer(b, ep)
	for name, url := range map[string]string{"direct": "http://" + ep.Address + wire.PathGenerate, "through": ts.url + "/draft"} {
		b.Run(name, func(b *testing.B) { postRepeatedly(b, url) })
	}
}

func postRepeatedly(b *testing.B, url string) {
	b.Helper()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"Prompt":"p","MaxTokens":32}`))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("X-Api-Key", testKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status, err)
		}
	}
}
