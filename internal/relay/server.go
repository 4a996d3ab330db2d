package relay

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/objapi"
)

// maxCallBytes is the maximum size of a call; the store accepts values of 1 MB.
const maxCallBytes = 4 << 20

// Server makes calls to the store on behalf of other hosts, always directly. Its fields are set before use.
type Server struct {
	Direct objapi.Store
	Secret string
	// Serves reports whether this host's direct calls work, as far as known; nil for always. While they don't, a call is refused
	// at once, so that the other host goes on to the next.
	Serves func() bool
}

// ServeHTTP answers one call. It may be called concurrently.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !HasSecret(r, s.Secret) {
		http.Error(w, "unknown secret", http.StatusForbidden)
		return
	}
	var c call
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil || msgpack.Unmarshal(body, &c) != nil {
		http.Error(w, "malformed call", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), relayTimeout)
	defer cancel()
	a := answer{Kind: kinds.StoreRefused}
	if s.Serves == nil || s.Serves() {
		a, _ = execute(ctx, s.Direct, c) // the answer holds the kind of the error
	}
	data, err := msgpack.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // an error means that the caller is gone
}

// HasSecret reports whether a call carries the hosts' shared secret. It may be called concurrently.
func HasSecret(r *http.Request, secret string) bool {
	return subtle.ConstantTimeCompare([]byte(r.Header.Get(HeaderSecret)), []byte(secret)) == 1
}
