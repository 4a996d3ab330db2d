// Package trnr implements a simulated trainer. It fetches lots by cursor, checks them and publishes weight versions.
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

const retryPause = 50 * time.Millisecond

// Trainer fetches the lots of a rollout from daemons, one after the other. Set the exported fields before Run.
type Trainer struct {
	Daemons      []string // base URLs; after a failure the next one is used
	Key          string
	Rollout      string
	Consumer     string        // consumer id
	Lots         int           // number of lots to fetch
	Count        int           // expected number of samples in a lot; 0 for any
	MaxStaleness uint64        // maximum age of a sample in weight versions
	FirstVersion uint64        // newest weight version before the first publication
	StepTime     time.Duration // simulated training time of a lot
	Publish      bool          // publish a weight version after each lot
	Client       *http.Client
	Notify       func(lot wire.Lot) // called after each lot is checked, unless nil

	daemonIndex   int
	heldAttempt   uint64 // attempt of the lot that was received last
	newestVersion uint64
	seenIDs       map[string]bool
	summary       Summary
}

// Summary is the outcome of a run. Problems describes each violation that was found in the lots.
type Summary struct {
	Rollout   string
	Lots      int
	Samples   int
	Requests  int           // requests, including failed ones
	Published uint64        // newest published version
	Staleness uint64        // highest age of a sample in weight versions when it was delivered
	Idle      time.Duration // time spent waiting for lots
	Took      time.Duration
	Problems  []string
}

// String returns the summary as key=value pairs on one line.
func (s Summary) String() string {
	return fmt.Sprintf("Rollout=%s Lots=%d Samples=%d Asks=%d Published=%d Staleness=%d IdleMS=%d TookMS=%d Problems=%d",
		s.Rollout, s.Lots, s.Samples, s.Requests, s.Published, s.Staleness, s.Idle.Milliseconds(), s.Took.Milliseconds(), len(s.Problems))
}

// Run fetches and processes all lots. It returns an error when ctx ends before the last lot or when the samples of a lot
// can't be decoded, with the summary so far.
func (t *Trainer) Run(ctx context.Context) (Summary, error) {
	start := time.Now()
	t.seenIDs = map[string]bool{}
	t.newestVersion = t.FirstVersion
	t.summary = Summary{Rollout: t.Rollout}
	if t.Client == nil {
		t.Client = &http.Client{Timeout: 10 * time.Second}
	}
	for cursor := range t.Lots {
		if err := t.processLot(ctx, uint64(cursor)); err != nil {
			t.summary.Took = time.Since(start)
			return t.summary, err
		}
	}
	t.summary.Took = time.Since(start)
	return t.summary, nil
}

func (t *Trainer) processLot(ctx context.Context, cursor uint64) error {
	start := time.Now()
	lot, err := t.fetchLot(ctx, cursor)
	t.summary.Idle += time.Since(start)
	if err != nil {
		return err
	}
	t.checkLot(cursor, lot)
	if t.Notify != nil {
		t.Notify(lot)
	}
	time.Sleep(t.StepTime)
	if !t.Publish {
		return nil
	}
	return t.publish(ctx, cursor+1)
}

// received is a Lot whose samples are not decoded, since the checksum is that of their bytes.
type received struct {
	wire.Lot
	Samples json.RawMessage
}

// fetchLot requests the lot after cursor until it is delivered.
func (t *Trainer) fetchLot(ctx context.Context, cursor uint64) (wire.Lot, error) {
	var lot wire.Lot
	var received received
	request := wire.LotAsk{Consumer: t.Consumer, Cursor: cursor, Attempt: t.heldAttempt}
	if err := t.callUntilSuccess(ctx, wire.CallLots, request, &received); err != nil {
		return lot, err
	}
	lot = received.Lot
	if sum := Checksum(received.Samples); sum != lot.Checksum {
		t.addProblem("lot %d: checksum %s, computed %s", lot.Lot, lot.Checksum, sum)
	}
	t.heldAttempt = lot.Attempt
	err := json.Unmarshal(received.Samples, &lot.Samples)
	return lot, errors.Wrap(err, "decoding samples")
}

// publish publishes the next version and thereby acknowledges the lots up to cursor.
func (t *Trainer) publish(ctx context.Context, cursor uint64) error {
	var done wire.Published
	if err := t.callUntilSuccess(ctx, wire.CallVersions, wire.Publish{Consumer: t.Consumer, Version: t.newestVersion + 1, Cursor: cursor}, &done); err != nil {
		return err
	}
	t.newestVersion++
	t.summary.Published = t.newestVersion
	return nil
}

// callUntilSuccess repeats a call, which must be idempotent, until it succeeds or ctx ends.
func (t *Trainer) callUntilSuccess(ctx context.Context, name string, request, reply any) error {
	var lastErr error
	for ctx.Err() == nil {
		t.summary.Requests++
		lastErr = t.call(ctx, name, request, reply)
		if lastErr == nil {
			return nil
		}
		t.daemonIndex++
		time.Sleep(retryPause)
	}
	return errors.Wrapf(ctx.Err(), "%s: %v", name, lastErr)
}

func (t *Trainer) call(ctx context.Context, name string, request, reply any) error {
	data, err := json.Marshal(request)
	if err != nil {
		return err
	}
	url := t.Daemons[t.daemonIndex%len(t.Daemons)] + wire.PathRollouts + t.Rollout + "/" + name
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

// checkLot records a problem for each violation in a lot.
func (t *Trainer) checkLot(cursor uint64, lot wire.Lot) {
	s := &t.summary
	s.Lots++
	s.Samples += len(lot.Samples)
	if lot.Lot != cursor+1 {
		t.addProblem("requested lot %d, got lot %d", cursor+1, lot.Lot)
	}
	if lot.Count != len(lot.Samples) || (t.Count != 0 && lot.Count != t.Count) {
		t.addProblem("lot %d: count %d, samples %d, expected %d", lot.Lot, lot.Count, len(lot.Samples), t.Count)
	}
	for _, sample := range lot.Samples {
		t.checkSample(lot, sample)
	}
}

func (t *Trainer) checkSample(lot wire.Lot, sample wire.Sample) {
	if t.seenIDs[sample.ID] {
		t.addProblem("lot %d: sample %s was delivered twice", lot.Lot, sample.ID)
	}
	t.seenIDs[sample.ID] = true
	if len(sample.Versions) == 0 {
		t.addProblem("lot %d: sample %s has no version", lot.Lot, sample.ID)
	}
	newest := max(lot.Newest, t.newestVersion)
	for _, version := range sample.Versions {
		if version == 0 || version > newest {
			t.addProblem("lot %d: sample %s has version %d, which is 0 or above the newest version %d", lot.Lot, sample.ID, version, newest)
			continue
		}
		age := newest - version
		t.summary.Staleness = max(t.summary.Staleness, age)
		if age > t.MaxStaleness {
			t.addProblem("lot %d: sample %s is %d versions old, more than the maximum staleness", lot.Lot, sample.ID, age)
		}
	}
}

func (t *Trainer) addProblem(format string, args ...any) {
	t.summary.Problems = append(t.summary.Problems, fmt.Sprintf(format, args...))
}

// Checksum returns the xxhash of the JSON array of samples as 16 hexadecimal digits. It may be called concurrently.
func Checksum(samples []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(samples))
}
