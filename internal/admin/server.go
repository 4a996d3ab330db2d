package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Paths of the operators' listener.
const (
	PathHealth  = "/healthz" // open
	PathReady   = "/readyz"  // open
	PathMetrics = "/metrics"
	PathStatus  = "/status"
)

const (
	statusTimeout = 2 * time.Second
	headerTimeout = 5 * time.Second
	writeTimeout  = 10 * time.Second
	maxHeader     = 16 << 10
	minCredential = 16 // bytes
)

// Server answers operators. Its fields are set before Handler or Run.
type Server struct {
	Address    string
	Credential string
	Ready      func() (ready bool, reason string)
	Status     func(ctx context.Context) (wire.Status, error)
	Metrics    http.Handler
	Refused    func(kind kinds.Kind) // counts a refusal
}

// ReadCredential returns the operators' credential that a file holds on its first line. It fails with kind
// ConfigInvalid when the file can't be read or the credential is shorter than 16 bytes.
func ReadCredential(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", kinds.New(kinds.ConfigInvalid, "CredentialFile: %v", err)
	}
	line, _, _ := strings.Cut(string(text), "\n")
	credential := strings.TrimSpace(line)
	if len(credential) < minCredential {
		return "", kinds.New(kinds.ConfigInvalid, "CredentialFile %s: want a first line of %d bytes or more", file, minCredential)
	}
	return credential, nil
}

// Handler returns the listener's handler. It may be used concurrently.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET "+PathReady, s.ready)
	mux.Handle("GET "+PathMetrics, s.guard(s.Metrics))
	mux.Handle("GET "+PathStatus, s.guard(http.HandlerFunc(s.status)))
	return mux
}

// Run serves until ctx ends. It fails when the address can't be listened on.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "operators' listener")
	}
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "operators' listener")
	}
	return nil
}

// guard passes on only requests with the credential. Digests are compared, so that the time taken
// tells neither the credential's length nor its beginning.
func (s *Server) guard(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.Credential))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(given))
		same := subtle.ConstantTimeCompare(sum[:], want[:]) == 1
		if !bearer || !same || s.Credential == "" {
			s.refuse(w, kinds.New(kinds.CredentialInvalid, "give the operators' credential as a bearer token"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ready, reason := s.Ready()
	if !ready {
		writeText(w, http.StatusServiceUnavailable, reason)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := s.Status(ctx)
	if err != nil {
		s.refuse(w, err)
		return
	}
	status.Ready, status.Reason = s.Ready()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

func (s *Server) refuse(w http.ResponseWriter, err error) {
	kind := kinds.From(err)
	if s.Refused != nil {
		s.Refused(kind)
	}
	writeText(w, kinds.Of(kind).Status, err.Error())
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
