package serve

import (
	"net/http/httptest"
	"testing"
)

// The repeats of a request must have one digest, and no other request may have it.
func TestDigest(t *testing.T) {
	of := func(method, host, target, body string) string {
		r := httptest.NewRequest(method, "/x", nil)
		r.Host = host
		return digest(r, target, []byte(body))
	}
	first := of("POST", "a.example", "/lookup/1?q=2", "body")
	if repeat := of("POST", "a.example", "/lookup/1?q=2", "body"); repeat != first {
		t.Errorf("the repeat has digest %s, the request %s", repeat, first)
	}
	others := map[string]string{
		"method": of("PUT", "a.example", "/lookup/1?q=2", "body"),
		"host":   of("POST", "b.example", "/lookup/1?q=2", "body"),
		"path":   of("POST", "a.example", "/lookup/2?q=2", "body"),
		"query":  of("POST", "a.example", "/lookup/1?q=3", "body"),
		"body":   of("POST", "a.example", "/lookup/1?q=2", "bodies"),
		"split":  of("POST", "a.example", "/lookup/1?q=2\" \n", "ody"),
	}
	for name, other := range others {
		if other == first {
			t.Errorf("a request with another %s has the same digest", name)
		}
	}
}
