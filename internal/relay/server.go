package relay

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/objapi"
)

// callMost bounds a call in bytes; the store takes values of a megabyte.
const callMost = 4 << 20

// Server makes calls to the store on behalf of other hosts, by its own way only. Its fields are set before use.
type Server struct {
	Own    objapi.Store
	Secret string
}

// ServeHTTP answers one call. It may be called concurrently.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !Knows(r, s.Secret) {
		http.Error(w, "unknown secret", http.StatusForbidden)
		return
	}
	var c call
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, callMost))
	if err != nil || msgpack.Unmarshal(body, &c) != nil {
		http.Error(w, "the call can't be read", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), hopTimeout)
	defer cancel()
	a, _ := perform(ctx, s.Own, c) // the kind is in the answer
	text, err := msgpack.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(text) // the caller may have gone
}

// Knows reports whether a call bears the hosts' secret. It may be called concurrently.
func Knows(r *http.Request, secret string) bool {
	return subtle.ConstantTimeCompare([]byte(r.Header.Get(HeaderSecret)), []byte(secret)) == 1
}
