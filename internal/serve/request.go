package serve

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/gate"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	headerTimeout       = "X-Timeout-Ms"
	bytesPerToken       = 4
	serviceCallTokens   = 50 // estimated cost, in tokens, of a request to a plain service
	hashedPrefixBytes   = 256
	digestBytes         = 16
	maxGenerationTokens = 1 << 20 // greatest MaxTokens
	shortBody           = 64 << 10
)

// incomingRequest is a caller's request after reading and checking.
type incomingRequest struct {
	exchange *call.Exchange
	arrived  event.RequestArrived
}

// readRequest reads and checks a request. Only the hash of its API key is kept.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (*incomingRequest, error) {
	now := s.Now()
	active := s.active.Load()
	if active == nil {
		return nil, kinds.New(kinds.NotReady, "no configuration has been loaded yet")
	}
	if s.Protocol != nil {
		return s.readByProtocol(w, r, now, active)
	}
	if err := checkHead(r, active.site.Limits); err != nil {
		return nil, err
	}
	key, err := presentedKey(r.Header)
	if err != nil {
		return nil, err
	}
	head, err := sanitizeHead(r, key)
	if err != nil {
		return nil, err
	}
	body, err := readRoutedBody(w, r, active)
	if err != nil {
		return nil, err
	}
	in := &incomingRequest{exchange: &call.Exchange{Method: r.Method, Target: head.target, Header: head.header, Body: body}}
	in.arrived = event.RequestArrived{
		Path: r.URL.Path, Method: r.Method, Tokens: serviceCallTokens + len(body)/bytesPerToken, Digest: digest(r, head.target, body),
	}
	if key != "" {
		in.arrived.KeyHash = keys.Hash(key)
	}
	if err := in.resolve(now, r, key, active); err != nil {
		return nil, err
	}
	return in, nil
}

// readByProtocol reads a request in the form that Server.Protocol defines.
func (s *Server) readByProtocol(w http.ResponseWriter, r *http.Request, now time.Duration, active *activeSite) (*incomingRequest, error) {
	head, err := s.Protocol.Read(r)
	if err != nil {
		return nil, err
	}
	body, err := readRoutedBody(w, r, active)
	if err != nil {
		return nil, err
	}
	in := &incomingRequest{exchange: &call.Exchange{
		ID: head.ID, Host: r.Host, Method: r.Method, Target: head.Target, Header: head.Header, Body: body,
	}}
	in.arrived = event.RequestArrived{
		ID: head.ID, KeyHash: head.KeyHash, Host: r.Host, Path: r.URL.Path, Method: r.Method, Tokens: serviceCallTokens + len(body)/bytesPerToken,
		Digest: digest(r, head.Target, body), LastEvent: head.LastEvent, Resumes: head.Resumes,
	}
	if head.Timeout > 0 {
		in.arrived.Deadline = now + head.Timeout
	}
	return in, nil
}

// readRoutedBody reads the body of a request. A long one isn't read for a path without a route.
func readRoutedBody(w http.ResponseWriter, r *http.Request, active *activeSite) ([]byte, error) {
	if r.ContentLength < 0 || r.ContentLength > shortBody {
		if _, ok := active.routes.Match(r.Host, r.URL.Path); !ok {
			return nil, kinds.New(kinds.RouteUnknown, "no route for %s", r.URL.Path)
		}
	}
	return gate.ReadBody(w, r, active.site.Limits.MaxBodyBytes)
}

// digest returns the Digest of a request.
func digest(r *http.Request, target string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q\n", r.Method, r.Host, target) // a hash takes any bytes without an error
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// resolve checks the body for the API key and sets what follows from the timeout header and the route.
func (in *incomingRequest) resolve(now time.Duration, r *http.Request, key string, active *activeSite) error {
	if key != "" && bytes.Contains(in.exchange.Body, []byte(key)) {
		return kinds.New(kinds.BadRequest, "the body contains the API key")
	}
	if err := in.setDeadline(now, r.Header.Get(headerTimeout)); err != nil {
		return err
	}
	in.exchange.Header.Del(headerTimeout)
	matchedRoute, ok := active.routes.Match(r.Host, r.URL.Path)
	if !ok || matchedRoute.Model == "" {
		return nil
	}
	return in.readGenerate(matchedRoute)
}

func (in *incomingRequest) setDeadline(now time.Duration, timeout string) error {
	if timeout == "" {
		return nil
	}
	ms, err := strconv.ParseInt(timeout, 10, 32)
	if err != nil || ms <= 0 {
		return kinds.New(kinds.BadRequest, "%s must be a positive number of milliseconds", headerTimeout)
	}
	in.arrived.Deadline = now + time.Duration(ms)*time.Millisecond
	return nil
}

func (in *incomingRequest) readGenerate(matchedRoute config.Route) error {
	var g wire.Generate
	if in.exchange.Method != http.MethodPost || json.Unmarshal(in.exchange.Body, &g) != nil {
		return kinds.New(kinds.BadRequest, "the body is not a generation request")
	}
	if g.MaxTokens < 1 || g.MaxTokens > maxGenerationTokens {
		return kinds.New(kinds.BadRequest, "MaxTokens must be between 1 and %d", maxGenerationTokens)
	}
	g.Held = nil
	in.exchange.Generate = &g
	in.arrived.Generation = true
	in.arrived.Model = matchedRoute.Model
	in.arrived.Tokens = len(g.Prompt)/bytesPerToken + g.MaxTokens
	in.arrived.Prefix = xxhash.Sum64String(g.Prompt[:min(len(g.Prompt), hashedPrefixBytes)])
	return nil
}

// checkHead returns an error for a head that is too large, and for a path with dot segments, which an endpoint could
// resolve to another path than the one that the routes matched.
func checkHead(r *http.Request, limits config.Limits) error {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > limits.MaxHeaderBytes {
		return kinds.New(kinds.BadRequest, "the request head exceeds %d bytes", limits.MaxHeaderBytes)
	}
	for segment := range strings.SplitSeq(strings.ReplaceAll(r.URL.Path, `\`, "/"), "/") {
		if segment == "." || segment == ".." {
			return kinds.New(kinds.BadRequest, "the path contains dot segments")
		}
	}
	return nil
}
