package serve

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	headerTimeout  = "X-Timeout-Ms"
	bytesPerToken  = 4
	serviceTokens  = 50 // estimated cost of a call to a plain service
	prefixBytes    = 256
	generationMost = 1 << 20 // greatest MaxTokens
)

// incoming is a caller's request as it was read.
type incoming struct {
	exchange *call.Exchange
	arrived  event.RequestArrived
}

// read reads and checks a request. Its key is hashed at once and goes no further.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (*incoming, error) {
	now := s.Now()
	use := s.site.Load()
	if use == nil {
		return nil, kinds.New(kinds.NotReady, "no configuration yet")
	}
	if s.Protocol != nil {
		return s.readBy(w, r, now, use)
	}
	if err := checkHead(r, use.site.Limits); err != nil {
		return nil, err
	}
	key, err := presentedKey(r.Header)
	if err != nil {
		return nil, err
	}
	head, err := strip(r, key)
	if err != nil {
		return nil, err
	}
	body, err := s.readBody(w, r, use.site.Limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	in := &incoming{exchange: &call.Exchange{Method: r.Method, Target: head.target, Header: head.header, Body: body}}
	in.arrived = event.RequestArrived{Path: r.URL.Path, Method: r.Method, Tokens: serviceTokens + len(body)/bytesPerToken}
	if key != "" {
		in.arrived.KeyHash = keys.Hash(key)
	}
	if err := in.complete(now, r, key, use); err != nil {
		s.bodies.Add(-int64(len(body)))
		return nil, err
	}
	return in, nil
}

// readBy reads a request by the protocol of the server.
func (s *Server) readBy(w http.ResponseWriter, r *http.Request, now time.Duration, use *use) (*incoming, error) {
	head, err := s.Protocol.Read(r)
	if err != nil {
		return nil, err
	}
	body, err := s.readBody(w, r, use.site.Limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	in := &incoming{exchange: &call.Exchange{
		ID: head.ID, Host: r.Host, Method: r.Method, Target: head.Target, Header: head.Header, Body: body,
	}}
	in.arrived = event.RequestArrived{
		ID: head.ID, KeyHash: head.KeyHash, Host: r.Host, Path: r.URL.Path, Method: r.Method, Tokens: serviceTokens + len(body)/bytesPerToken,
	}
	if head.Within > 0 {
		in.arrived.Deadline = now + head.Within
	}
	return in, nil
}

// complete sets what the body and the route tell.
func (in *incoming) complete(now time.Duration, r *http.Request, key string, use *use) error {
	if key != "" && bytes.Contains(in.exchange.Body, []byte(key)) {
		return kinds.New(kinds.BadRequest, "the body carries the key")
	}
	if err := in.setDeadline(now, r.Header.Get(headerTimeout)); err != nil {
		return err
	}
	in.exchange.Header.Del(headerTimeout)
	matched, ok := use.routes.Match(r.Host, r.URL.Path)
	if !ok || matched.Model == "" {
		return nil
	}
	return in.readGenerate(matched)
}

func (in *incoming) setDeadline(now time.Duration, asked string) error {
	if asked == "" {
		return nil
	}
	ms, err := strconv.ParseInt(asked, 10, 32)
	if err != nil || ms <= 0 {
		return kinds.New(kinds.BadRequest, "%s is no positive number of milliseconds", headerTimeout)
	}
	in.arrived.Deadline = now + time.Duration(ms)*time.Millisecond
	return nil
}

func (in *incoming) readGenerate(matched config.Route) error {
	var g wire.Generate
	if in.exchange.Method != http.MethodPost || json.Unmarshal(in.exchange.Body, &g) != nil {
		return kinds.New(kinds.BadRequest, "the body is no generation request")
	}
	if g.MaxTokens < 1 || g.MaxTokens > generationMost {
		return kinds.New(kinds.BadRequest, "MaxTokens is not between 1 and %d", generationMost)
	}
	g.Held = nil
	in.exchange.Generate = &g
	in.arrived.Generation = true
	in.arrived.Model = matched.Model
	in.arrived.Tokens = len(g.Prompt)/bytesPerToken + g.MaxTokens
	in.arrived.Prefix = xxhash.Sum64String(g.Prompt[:min(len(g.Prompt), prefixBytes)])
	return nil
}

// checkHead refuses a head that is too large and a path that endpoints could read in another way than the routes do.
func checkHead(r *http.Request, limits config.Limits) error {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > limits.MaxHeaderBytes {
		return kinds.New(kinds.BadRequest, "the head is larger than %d bytes", limits.MaxHeaderBytes)
	}
	for segment := range strings.SplitSeq(strings.ReplaceAll(r.URL.Path, `\`, "/"), "/") {
		if segment == "." || segment == ".." {
			return kinds.New(kinds.BadRequest, "the path has dot segments")
		}
	}
	return nil
}

// readBody reads the whole body, so that an attempt can be repeated. The caller gives the bytes back to s.bodies.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	if r.ContentLength > most {
		return nil, kinds.New(kinds.BodyTooLarge, "the body is larger than %d bytes", most)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	counted := &countedReader{from: http.MaxBytesReader(w, r.Body, most), held: &s.bodies}
	body, err := io.ReadAll(counted)
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if err == nil {
		return body, nil
	}
	s.bodies.Add(-counted.read)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, kinds.New(kinds.BodyTooLarge, "the body is larger than %d bytes", most)
	case errors.Is(err, errBodiesFull):
		return nil, kinds.New(kinds.QueueFull, "too many bodies are held")
	}
	return nil, kinds.New(kinds.BadRequest, "the body could not be read")
}

var errBodiesFull = errors.New("the bodies that are held exceed their bound")

// countedReader counts what it reads into held and stops when that passes its bound.
type countedReader struct {
	from io.Reader
	held *atomic.Int64
	read int64
}

// Read reads the next bytes.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.from.Read(p)
	c.read += int64(n)
	if c.held.Add(int64(n)) > bodiesMost {
		return n, errBodiesFull
	}
	return n, err
}
