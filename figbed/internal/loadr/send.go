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
	mostLine      = 1 << 20
)

// prepared is one request before it is sent.
type prepared struct {
	source Source
	target string
	id     string
	body   string
}

// outcome is what became of one request.
type outcome struct {
	whole        bool
	inTime       bool
	refused      string // kind, or the status of a refusal without one
	noRetryAfter bool
	took         time.Duration
	first        time.Duration
	tokens       int
	prompt       int
	cached       int
}

func (r *runner) build(s Source, n int, random *rand.Rand) prepared {
	p := prepared{source: s, target: r.plan.Targets[n%len(r.plan.Targets)], body: s.Body}
	p.id = fmt.Sprintf("%s-%d-%x", s.Organisation, n, random.Uint32())
	if s.MaxTokens > 0 {
		data, _ := json.Marshal(wire.Generate{Model: s.Model, Prompt: prompt(s, n, random), MaxTokens: s.MaxTokens, Seed: int64(n)})
		p.body = string(data)
	}
	return p
}

// prompt returns a head that requests of the source share, and a tail of its own.
func prompt(s Source, n int, random *rand.Rand) string {
	head := n
	if s.Prefixes > 0 {
		head = random.IntN(s.Prefixes)
	}
	var b strings.Builder
	for w := 0; w < s.PromptWords || (s.Prefixes > 0 && b.Len() < wire.HeadBytes); w++ {
		fmt.Fprintf(&b, "%s%dw%d ", s.Organisation, head, w)
	}
	fmt.Fprintf(&b, "tail%d", n)
	return b.String()
}

func (r *runner) send(ctx context.Context, p prepared, due time.Time) outcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.target+p.source.Path, strings.NewReader(p.body))
	if err != nil {
		return outcome{}
	}
	r.setHeaders(req, p)
	resp, err := r.client.Do(req)
	if err != nil {
		return outcome{took: time.Since(due)}
	}
	defer func() { _ = resp.Body.Close() }()
	o := outcome{first: time.Since(due)}
	if resp.StatusCode != http.StatusOK {
		o.refusedBy(resp)
	} else if p.source.MaxTokens > 0 {
		o.readSegments(resp.Body)
	} else {
		_, err := io.Copy(io.Discard, resp.Body)
		o.whole = err == nil
		o.tokens = 1
	}
	o.took = time.Since(due)
	return o
}

func (r *runner) setHeaders(req *http.Request, p prepared) {
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

func (o *outcome) refusedBy(resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode == http.StatusBadGateway {
		return
	}
	o.refused = resp.Header.Get(headerKind)
	if o.refused == "" {
		o.refused = "Status" + strconv.Itoa(resp.StatusCode)
	}
	mayRetry := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	o.noRetryAfter = mayRetry && resp.Header.Get("Retry-After") == ""
}

func (o *outcome) readSegments(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		var s wire.Segment
		if json.Unmarshal(lines.Bytes(), &s) != nil {
			return
		}
		if s.Done {
			o.whole = true
			o.prompt, o.cached = s.PromptTokens, s.CachedTokens
			o.tokens = s.PromptTokens + s.GeneratedTokens
		}
	}
}
