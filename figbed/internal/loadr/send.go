package loadr

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

const (
	headerKind    = "X-Figshift-Kind"
	headerTimeout = "X-Timeout-Ms"
	maxLineBytes  = 1 << 20
)

// pendingRequest is a request that has not been sent yet.
type pendingRequest struct {
	source Source
	target string
	id     string
	body   string
}

// outcome is the outcome of one request.
type outcome struct {
	complete     bool
	inTime       bool
	refusalKind  string // kind of the refusal, or its status when the response has no kind; "" when not refused
	noRetryAfter bool
	latency      time.Duration
	firstByte    time.Duration
	tokens       int
	promptTokens int
	cachedTokens int
}

func (r *runner) newRequest(s Source, n int, random *rand.Rand) pendingRequest {
	p := pendingRequest{source: s, target: r.plan.Targets[n%len(r.plan.Targets)], body: s.Body}
	p.id = fmt.Sprintf("%s-%d-%x", s.Organisation, n, random.Uint32())
	if s.MaxTokens > 0 {
		data, _ := json.Marshal(wire.Generate{Model: s.Model, Prompt: buildPrompt(s, n, random), MaxTokens: s.MaxTokens, Seed: int64(n)})
		p.body = string(data)
	}
	return p
}

// buildPrompt returns a prompt that consists of one of the prefixes that the source's prompts share and a unique tail.
func buildPrompt(s Source, n int, random *rand.Rand) string {
	prefix := n
	if s.Prefixes > 0 {
		prefix = random.IntN(s.Prefixes)
	}
	var b strings.Builder
	for word := 0; word < s.PromptWords || (s.Prefixes > 0 && b.Len() < wire.PromptPrefixBytes); word++ {
		fmt.Fprintf(&b, "%s%dw%d ", s.Organisation, prefix, word)
	}
	fmt.Fprintf(&b, "tail%d", n)
	return b.String()
}

func (r *runner) send(ctx context.Context, p pendingRequest, due time.Time) outcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.target+p.source.Path, strings.NewReader(p.body))
	if err != nil {
		return outcome{}
	}
	r.setHeaders(req, p)
	resp, err := r.client.Do(req)
	if err != nil {
		return outcome{latency: time.Since(due)}
	}
	defer func() { _ = resp.Body.Close() }()
	o := outcome{firstByte: time.Since(due)}
	if resp.StatusCode != http.StatusOK {
		o.readRefusal(resp)
	} else if p.source.MaxTokens > 0 {
		o.readSegments(resp.Body)
	} else {
		_, err := io.Copy(io.Discard, resp.Body)
		o.complete = err == nil
		o.tokens = 1
	}
	o.latency = time.Since(due)
	return o
}

func (r *runner) setHeaders(req *http.Request, p pendingRequest) {
	req.Header.Set("X-Call-Id", p.id)
	if p.source.Key != "" {
		req.Header.Set("Authorization", "Bearer "+p.source.Key)
	}
	if p.source.TimeoutMS > 0 {
		req.Header.Set(headerTimeout, strconv.Itoa(p.source.TimeoutMS))
	}
	if r.plan.Direct {
		req.Header.Set(wire.HeaderRequest, p.id)
		req.Header.Set(wire.HeaderAttempt, p.id)
	}
}

func (o *outcome) readRefusal(resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode == http.StatusBadGateway {
		return
	}
	o.refusalKind = resp.Header.Get(headerKind)
	if o.refusalKind == "" {
		o.refusalKind = "Status" + strconv.Itoa(resp.StatusCode)
	}
	mayRetry := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	o.noRetryAfter = mayRetry && resp.Header.Get("Retry-After") == ""
}

func (o *outcome) readSegments(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var segment wire.Segment
		if json.Unmarshal(lines.Bytes(), &segment) != nil {
			return
		}
		if segment.Done {
			o.complete = true
			o.promptTokens, o.cachedTokens = segment.PromptTokens, segment.CachedTokens
			o.tokens = segment.PromptTokens + segment.GeneratedTokens
		}
	}
}
