package train

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/figshift/figshift/internal/block"
	"github.com/figshift/figshift/internal/gate"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	maxBody         = 64 << 10 // bytes
	callTimeout     = 8 * time.Second
	handOverTimeout = 30 * time.Second
	retryAfter      = time.Second
)

// Handler answers the calls under wire.PathRollouts. Its exported fields are set before the first call.
type Handler struct {
	Calls  *Calls
	Blocks *block.Store
	Scope  tally.Scope
}

// ServeHTTP serves one call of a trainer. It may be called concurrently.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := h.serve(w, r); err != nil {
		h.Scope.Tagged(map[string]string{"Kind": string(kinds.KindOf(err))}).Counter("TrainersRefused").Inc(1)
		writeRefusal(w, err)
	}
}

func writeRefusal(w http.ResponseWriter, err error) {
	kind := kinds.KindOf(err)
	attributes := kinds.AnswerFor(kind)
	refusal := wire.Refusal{Kind: string(kind), Run: string(attributes.Run), Detail: err.Error()}
	if attributes.RetryAfter {
		refusal.RetryAfterMS = retryAfter.Milliseconds()
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
	}
	w.Header().Set(wire.HeaderKind, refusal.Kind)
	w.Header().Set(wire.HeaderRun, refusal.Run)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(attributes.Status)
	_ = json.NewEncoder(w).Encode(refusal)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) error {
	name, call, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, wire.PathRollouts), "/")
	if !ok || name == "" {
		return kinds.New(kinds.RouteUnknown, "path %s names no rollout and call", r.URL.Path)
	}
	if r.Method != http.MethodPost {
		return kinds.New(kinds.BadRequest, "method %s, want POST", r.Method)
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	organisation, err := h.authorise(ctx, r)
	if err != nil {
		return err
	}
	if !h.Blocks.Texts.HasRollout(name) {
		return kinds.New(kinds.NotFound, "rollout %s does not exist", name)
	}
	c := rolloutCall{handler: h, duty: wire.PrefixRolloutDuty + name, name: name}
	c.body.Organisation = organisation
	switch call {
	case wire.CallLots:
		return c.serveLot(ctx, w, r)
	case wire.CallVersions:
		return c.forward(ctx, w, r, wire.AskPublish, &c.body.Publish)
	case wire.CallRelease:
		return c.forward(ctx, w, r, wire.AskRelease, &c.body.Release)
	}
	return kinds.New(kinds.RouteUnknown, "path %s names an unknown call", r.URL.Path)
}

func (h *Handler) authorise(ctx context.Context, r *http.Request) (string, error) {
	key, err := apiKey(r.Header)
	if err != nil {
		return "", err
	}
	return h.Calls.Authorise(ctx, keys.Hash(key))
}

// apiKey returns the key in the headers of a call. Two different keys are an error.
func apiKey(header http.Header) (string, error) {
	all := header.Values("X-Api-Key")
	for _, v := range header.Values("Authorization") {
		scheme, key, _ := strings.Cut(v, " ")
		if strings.EqualFold(scheme, "Bearer") {
			all = append(all, strings.TrimSpace(key))
		}
	}
	if len(all) == 0 || all[0] == "" {
		return "", kinds.New(kinds.KeyMissing, "the request has no key")
	}
	for _, k := range all[1:] {
		if k != all[0] {
			return "", kinds.New(kinds.BadRequest, "the request presents two keys")
		}
	}
	return all[0], nil
}

// rolloutCall is one call of a trainer to the holder of its rollout.
type rolloutCall struct {
	handler *Handler
	duty    string
	name    string
	body    wire.RolloutCall
}

// forward reads the request's body into target, which points into c.body, and forwards the call to the holder and its
// answer to the trainer.
func (c *rolloutCall) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, name string, target any) error {
	if err := readBody(w, r, target); err != nil {
		return err
	}
	answer, err := c.call(ctx, name)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := gate.ReadBody(w, r, maxBody)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return kinds.New(kinds.BadRequest, "decode the body: %v", err)
	}
	return nil
}

func (c *rolloutCall) call(ctx context.Context, name string) ([]byte, error) {
	body, err := json.Marshal(&c.body)
	if err != nil {
		return nil, err
	}
	return c.handler.Calls.CallHolder(ctx, c.duty, name, body, callTimeout)
}
