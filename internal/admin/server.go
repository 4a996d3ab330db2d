package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/gate"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Paths of the operators' listener.
const (
	PathHealth  = "/healthz" // needs no credential
	PathReady   = "/readyz"  // needs no credential
	PathMetrics = "/metrics"
	PathStatus  = "/status"
)

const (
	statusTimeout      = 2 * time.Second
	writeTimeout       = 10 * time.Second
	maxHeaderBytes     = 16 << 10
	minCredentialBytes = 16
)

// Server serves the operators' listener. Its fields are set before Handler or Run is called.
type Server struct {
	Address    string
	Credential string
	Ready      func() (ready bool, reason string)
	Status     func(ctx context.Context) (wire.Status, error)
	Metrics    http.Handler
	OnRefused  func(kind kinds.Kind) // called with the kind of each refused or failed request; may be nil
	Gate       *gate.Gate            // bounds the clients; nil for no bound but the limits of requests
}

// ReadCredential returns the operators' credential, which is the first line of a file without surrounding white space.
// It fails with kind ConfigInvalid if the file can't be read or the credential is shorter than 16 bytes.
func ReadCredential(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", kinds.New(kinds.ConfigInvalid, "CredentialFile: %v", err)
	}
	line, _, _ := strings.Cut(string(text), "\n")
	credential := strings.TrimSpace(line)
	if len(credential) < minCredentialBytes {
		return "", kinds.New(kinds.ConfigInvalid, "CredentialFile %s: the first line must have at least %d bytes", file, minCredentialBytes)
	}
	return credential, nil
}

// Handler returns the HTTP handler of the listener. It may be used concurrently.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET "+PathReady, s.handleReady)
	mux.Handle("GET "+PathMetrics, s.requireCredential(s.Metrics))
	mux.Handle("GET "+PathStatus, s.requireCredential(http.HandlerFunc(s.handleStatus)))
	return mux
}

// Run serves until ctx ends. It fails if it can't listen on Address.
func (s *Server) Run(ctx context.Context) error {
	admits := s.Gate
	if admits == nil {
		admits = &gate.Gate{}
	}
	admits.SetLimits(gate.Limits{HeadBytes: maxHeaderBytes})
	listener, err := admits.Listen(s.Address)
	if err != nil {
		return errors.Wrap(err, "operators' listener")
	}
	server := &http.Server{Handler: s.Handler(), WriteTimeout: writeTimeout}
	go admits.Run(ctx)
	stop := context.AfterFunc(ctx, func() {
		admits.Stop()
		_ = server.Close()
	})
	defer stop()
	if err := admits.Serve(server, listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "operators' listener")
	}
	return nil
}

// requireCredential passes only requests with the credential on to next. It compares digests in constant time, so that
// the time taken reveals neither the length of the credential nor a prefix of it.
func (s *Server) requireCredential(next http.Handler) http.Handler {
	wantHash := sha256.Sum256([]byte(s.Credential))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		givenHash := sha256.Sum256([]byte(given))
		matches := subtle.ConstantTimeCompare(givenHash[:], wantHash[:]) == 1
		if !bearer || !matches || s.Credential == "" {
			s.writeError(w, kinds.New(kinds.CredentialInvalid, "the operators' credential is required as a bearer token"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := s.Ready()
	if !ready {
		writeText(w, http.StatusServiceUnavailable, reason)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := s.Status(ctx)
	if err != nil {
		s.writeError(w, err)
		return
	}
	status.Ready, status.Reason = s.Ready()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	kind := kinds.KindOf(err)
	if s.OnRefused != nil {
		s.OnRefused(kind)
	}
	writeText(w, kinds.AnswerFor(kind).Status, err.Error())
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
