package train

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/figshift/figshift/internal/block"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	maxBody      = 64 << 10
	askWait      = 8 * time.Second
	handOverTime = 30 * time.Second
	retryAfter   = time.Second
)

// Handler answers the calls under wire.PathRollouts. Its exported fields are set before the first call.
type Handler struct {
	Calls  *Calls
	Blocks *block.Store
	Scope  tally.Scope
}

// ServeHTTP answers one trainer's call. It may be called concurrently.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := h.serve(w, r); err != nil {
		h.Scope.Tagged(map[string]string{"Kind": string(kinds.From(err))}).Counter("TrainersRefused").Inc(1)
		refuse(w, err)
	}
}

func refuse(w http.ResponseWriter, err error) {
	kind := kinds.From(err)
	a := kinds.Of(kind)
	refusal := wire.Refusal{Kind: string(kind), Run: string(a.Run), Detail: err.Error()}
	if a.RetryAfter {
		refusal.RetryAfterMS = retryAfter.Milliseconds()
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
	}
	w.Header().Set(wire.HeaderKind, refusal.Kind)
	w.Header().Set(wire.HeaderRun, refusal.Run)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.Status)
	_ = json.NewEncoder(w).Encode(refusal)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) error {
	name, call, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, wire.PathRollouts), "/")
	if !ok || name == "" {
		return kinds.New(kinds.RouteUnknown, "%s", r.URL.Path)
	}
	if r.Method != http.MethodPost {
		return kinds.New(kinds.BadRequest, "method %s", r.Method)
	}
	ctx, cancel := context.WithTimeout(r.Context(), askWait)
	defer cancel()
	organisation, err := h.authorise(ctx, r)
	if err != nil {
		return err
	}
	if !h.Blocks.Texts.Knows(name) {
		return kinds.New(kinds.NotFound, "rollout %s", name)
	}
	c := rolloutCall{h: h, duty: wire.PrefixRolloutDuty + name, name: name}
	c.body.Organisation = organisation
	switch call {
	case wire.CallLots:
		return c.lots(ctx, w, r)
	case wire.CallVersions:
		return c.pass(ctx, w, r, wire.AskPublish, &c.body.Publish)
	case wire.CallRelease:
		return c.pass(ctx, w, r, wire.AskRelease, &c.body.Release)
	}
	return kinds.New(kinds.RouteUnknown, "%s", r.URL.Path)
}

func (h *Handler) authorise(ctx context.Context, r *http.Request) (string, error) {
	key, err := keyOf(r.Header)
	if err != nil {
		return "", err
	}
	return h.Calls.Authorise(ctx, keys.Hash(key))
}

// keyOf returns the key of a call; two different keys are refused.
func keyOf(header http.Header) (string, error) {
	all := header.Values("X-Api-Key")
	for _, v := range header.Values("Authorization") {
		scheme, key, _ := strings.Cut(v, " ")
		if strings.EqualFold(scheme, "Bearer") {
			all = append(all, strings.TrimSpace(key))
		}
	}
	if len(all) == 0 || all[0] == "" {
		return "", kinds.New(kinds.KeyMissing, "no key")
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
	h    *Handler
	duty string
	name string
	body wire.RolloutCall
}

// pass reads the call's body into part, asks the holder and passes its answer on.
func (c *rolloutCall) pass(ctx context.Context, w http.ResponseWriter, r *http.Request, name string, part any) error {
	if err := readBody(r, part); err != nil {
		return err
	}
	answer, err := c.ask(ctx, name)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
	return nil
}

func readBody(r *http.Request, v any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return kinds.New(kinds.BadRequest, "%v", err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return kinds.New(kinds.BadRequest, "%v", err)
	}
	return nil
}

func (c *rolloutCall) ask(ctx context.Context, name string) ([]byte, error) {
	body, err := json.Marshal(&c.body)
	if err != nil {
		return nil, err
	}
	return c.h.Calls.Ask(ctx, c.duty, name, body, askWait)
}
