// Package trnr is the stand-in of a trainer: it takes lots by cursor, checks them and publishes versions.
package trnr

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/wire"
)

const askPause = 50 * time.Millisecond

// Trainer takes lots from daemons, one after the other. Set the fields before Run.
type Trainer struct {
	Daemons      []string // base URLs; the next one is asked after a failure
	Key          string
	Rollout      string
	Consumer     string
	Lots         int
	Count        int // samples of a lot
	MaxStaleness uint64
	FirstVersion uint64        // version before the first publish
	StepTime     time.Duration // training on one lot
	Publish      bool          // publish a version after each lot
	Client       *http.Client
	Notify       func(lot wire.Lot) // called for each lot when not nil

	daemon  int
	attempt uint64 // of the lot that is held
	newest  uint64
	ids     map[string]bool
	summary Summary
}

// Summary is what a trainer saw. Each problem is one thing that should not be.
type Summary struct {
	Rollout   string
	Lots      int
	Samples   int
	Asks      int
	Published uint64
	Staleness uint64 // the greatest age in versions of any sample at hand-over
	Idle      time.Duration
	Took      time.Duration
	Problems  []string
}

// String returns the summary as key=value pairs on one line.
func (s Summary) String() string {
	return fmt.Sprintf("Rollout=%s Lots=%d Samples=%d Asks=%d Published=%d Staleness=%d IdleMS=%d TookMS=%d Problems=%d",
		s.Rollout, s.Lots, s.Samples, s.Asks, s.Published, s.Staleness, s.Idle.Milliseconds(), s.Took.Milliseconds(), len(s.Problems))
}

// Run takes all lots and returns what it saw. An error means that ctx ended before the last lot.
func (t *Trainer) Run(ctx context.Context) (Summary, error) {
	start := time.Now()
	t.ids = map[string]bool{}
	t.newest = t.FirstVersion
	t.summary = Summary{Rollout: t.Rollout}
	if t.Client == nil {
		t.Client = &http.Client{Timeout: 10 * time.Second}
	}
	for cursor := range t.Lots {
		if err := t.step(ctx, uint64(cursor)); err != nil {
			t.summary.Took = time.Since(start)
			return t.summary, err
		}
	}
	t.summary.Took = time.Since(start)
	return t.summary, nil
}

func (t *Trainer) step(ctx context.Context, cursor uint64) error {
	asked := time.Now()
	lot, err := t.take(ctx, cursor)
	t.summary.Idle += time.Since(asked)
	if err != nil {
		return err
	}
	t.check(cursor, lot)
	if t.Notify != nil {
		t.Notify(lot)
	}
	time.Sleep(t.StepTime)
	if !t.Publish {
		return nil
	}
	return t.publish(ctx, cursor+1)
}

// received is a Lot whose samples are still the bytes that the checksum is of.
type received struct {
	wire.Lot
	Samples json.RawMessage
}

// take asks until the lot after cursor comes.
func (t *Trainer) take(ctx context.Context, cursor uint64) (wire.Lot, error) {
	var lot wire.Lot
	var received received
	ask := wire.LotAsk{Consumer: t.Consumer, Cursor: cursor, Attempt: t.attempt}
	if err := t.until(ctx, wire.CallLots, ask, &received); err != nil {
		return lot, err
	}
	lot = received.Lot
	if sum := Checksum(received.Samples); sum != lot.Checksum {
		t.problem("lot %d: checksum %s, computed %s", lot.Lot, lot.Checksum, sum)
	}
	t.attempt = lot.Attempt
	err := json.Unmarshal(received.Samples, &lot.Samples)
	return lot, errors.Wrap(err, "decoding samples")
}

// publish acknowledges the lots up to cursor with the new version.
func (t *Trainer) publish(ctx context.Context, cursor uint64) error {
	var done wire.Published
	if err := t.until(ctx, wire.CallVersions, wire.Publish{Consumer: t.Consumer, Version: t.newest + 1, Cursor: cursor}, &done); err != nil {
		return err
	}
	t.newest++
	t.summary.Published = t.newest
	return nil
}

// until repeats a call, which is idempotent, until it succeeds or ctx ends.
func (t *Trainer) until(ctx context.Context, call string, ask, reply any) error {
	var last error
	for ctx.Err() == nil {
		t.summary.Asks++
		last = t.call(ctx, call, ask, reply)
		if last == nil {
			return nil
		}
		t.daemon++
		time.Sleep(askPause)
	}
	return errors.Wrapf(ctx.Err(), "%s: %v", call, last)
}

func (t *Trainer) call(ctx context.Context, call string, ask, reply any) error {
	data, err := json.Marshal(ask)
	if err != nil {
		return err
	}
	url := t.Daemons[t.daemon%len(t.Daemons)] + wire.PathRollouts + t.Rollout + "/" + call
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+t.Key)
	resp, err := t.Client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return json.Unmarshal(body, reply)
}

// check records all that is untrue of a lot.
func (t *Trainer) check(cursor uint64, lot wire.Lot) {
	s := &t.summary
	s.Lots++
	s.Samples += len(lot.Samples)
	if lot.Lot != cursor+1 {
		t.problem("asked for lot %d, got %d", cursor+1, lot.Lot)
	}
	if lot.Count != len(lot.Samples) || (t.Count != 0 && lot.Count != t.Count) {
		t.problem("lot %d: count %d, samples %d, wanted %d", lot.Lot, lot.Count, len(lot.Samples), t.Count)
	}
	for _, sample := range lot.Samples {
		t.checkSample(lot, sample)
	}
}

func (t *Trainer) checkSample(lot wire.Lot, sample wire.Sample) {
	if t.ids[sample.ID] {
		t.problem("lot %d: sample %s came twice", lot.Lot, sample.ID)
	}
	t.ids[sample.ID] = true
	if len(sample.Versions) == 0 {
		t.problem("lot %d: sample %s names no version", lot.Lot, sample.ID)
	}
	newest := max(lot.Newest, t.newest)
	for _, version := range sample.Versions {
		if version == 0 || version > newest {
			t.problem("lot %d: sample %s names version %d, newest %d", lot.Lot, sample.ID, version, newest)
			continue
		}
		age := newest - version
		t.summary.Staleness = max(t.summary.Staleness, age)
		if age > t.MaxStaleness {
			t.problem("lot %d: sample %s is %d versions old", lot.Lot, sample.ID, age)
		}
	}
}

func (t *Trainer) problem(format string, args ...any) {
	t.summary.Problems = append(t.summary.Problems, fmt.Sprintf(format, args...))
}

// Checksum returns the xxhash of the samples' JSON array in hex, 16 digits. It may be called concurrently.
func Checksum(samples []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(samples))
}
