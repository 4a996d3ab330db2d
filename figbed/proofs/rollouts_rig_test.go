package proofs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/trnr"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/lots"
	"github.com/figshift/figshift/internal/wire"
)

const (
	rolloutName  = "tariffs"
	rolloutDuty  = wire.PrefixRolloutDuty + rolloutName
	trainerName  = "trainer-1"
	lotBound     = 20 * time.Second // for a lot that waits for a takeover
	takeOverTime = 15 * time.Second
)

// rolloutSpec is a small rollout of organisation North.
func rolloutSpec() wire.RolloutSpec {
	spec := wire.RolloutSpec{
		Name: rolloutName, Organisation: "North", Model: proc.Model, Groups: 4, SamplesPerGroup: 4, SpareGroups: 1,
		MaxTokens: 24, MaxStaleness: 2, SealAhead: 1,
	}
	for i := range 16 {
		spec.Prompts = append(spec.Prompts, "explain tariff number "+strconv.Itoa(i))
	}
	return spec
}

// rolloutCluster runs daemons and two engines, and creates the rollout.
func rolloutCluster(t *testing.T, daemons int, spec wire.RolloutSpec, engine ...string) *proc.Cluster {
	t.Helper()
	c := newRolloutCluster(daemons, spec, engine...)
	c.Start(t)
	c.CreateRollout(spec)
	return c
}

func newRolloutCluster(daemons int, spec wire.RolloutSpec, engine ...string) *proc.Cluster {
	c := &proc.Cluster{
		Daemons: daemons,
		Engines: []proc.Endpoint{{Name: "e1", Zone: "a", Args: engine}, {Name: "e2", Zone: "b", Args: engine}},
	}
	if spec.Scorer != "" {
		c.Scorers = []proc.Endpoint{{Name: "s1", Zone: "a", Service: spec.Scorer}}
	}
	return c
}

func daemonURLs(c *proc.Cluster) []string {
	var urls []string
	for _, h := range c.Hosts {
		urls = append(urls, h.URL())
	}
	return urls
}

// trainRollout runs the stand-in of a trainer to its end and fails on each problem that it saw.
func trainRollout(t *testing.T, c *proc.Cluster, spec wire.RolloutSpec, bound time.Duration, change func(*trnr.Trainer)) trnr.Summary {
	t.Helper()
	trainer := &trnr.Trainer{
		Daemons: daemonURLs(c), Key: c.Key(spec.Organisation), Rollout: spec.Name, Consumer: trainerName,
		Lots: 4, Count: spec.Groups * spec.SamplesPerGroup, MaxStaleness: uint64(spec.MaxStaleness), FirstVersion: 1, Publish: true,
	}
	if change != nil {
		change(trainer)
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	summary, err := trainer.Run(ctx)
	t.Logf("%s", summary)
	if err != nil {
		t.Errorf("the trainer did not get its lots: %v", err)
	}
	for _, p := range summary.Problems {
		t.Error(p)
	}
	return summary
}

// trainerReply is a daemon's answer to a trainer's call.
type trainerReply struct {
	status int
	kind   kinds.Kind
	body   []byte
	err    error
}

func (r trainerReply) lot(t *testing.T) wire.Lot {
	t.Helper()
	var lot wire.Lot
	if err := json.Unmarshal(r.body, &lot); err != nil {
		t.Fatalf("not a lot: %v, %s", err, r.body)
	}
	return lot
}

// callRollout makes one trainer's call.
func callRollout(url, key, call string, ask any) trainerReply {
	data, err := json.Marshal(ask)
	if err != nil {
		return trainerReply{err: err}
	}
	req, err := http.NewRequest(http.MethodPost, url+wire.PathRollouts+rolloutName+"/"+call, bytes.NewReader(data))
	if err != nil {
		return trainerReply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return trainerReply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	var refusal struct{ Kind kinds.Kind }
	if resp.StatusCode != http.StatusOK {
		_ = json.Unmarshal(body, &refusal)
	}
	return trainerReply{status: resp.StatusCode, kind: refusal.Kind, body: body, err: err}
}

func askLot(c *proc.Cluster, url, consumer string, cursor uint64) trainerReply {
	return callRollout(url, c.Key("North"), wire.CallLots, wire.LotAsk{Consumer: consumer, Cursor: cursor})
}

// takeLot asks the daemons in turn until the lot after cursor comes.
func takeLot(t *testing.T, c *proc.Cluster, urls []string, cursor uint64) wire.Lot {
	t.Helper()
	var r trainerReply
	i := 0
	proc.WaitUntil(t, lotBound, fmt.Sprintf("lot %d is handed over", cursor+1), func() bool {
		r = askLot(c, urls[i%len(urls)], trainerName, cursor)
		i++
		return r.status == http.StatusOK && r.err == nil
	})
	return r.lot(t)
}

// publishVersion publishes at the daemons in turn until one confirms.
func publishVersion(t *testing.T, c *proc.Cluster, urls []string, version uint64) {
	t.Helper()
	i := 0
	proc.WaitUntil(t, lotBound, fmt.Sprintf("version %d is published", version), func() bool {
		r := callRollout(urls[i%len(urls)], c.Key("North"), wire.CallVersions, wire.Publish{Consumer: trainerName, Version: version})
		i++
		return r.status == http.StatusOK
	})
}

// dutyHolder returns the daemon that holds a duty, other than the one given.
func dutyHolder(t *testing.T, c *proc.Cluster, duty string, not *proc.Host) *proc.Host {
	t.Helper()
	var found *proc.Host
	proc.WaitUntil(t, takeOverTime, "a daemon holds "+duty, func() bool {
		found = dutyHolderNow(c, duty, not)
		return found != nil
	})
	return found
}

// dutyHolderNow asks each daemon itself whether it holds a duty.
func dutyHolderNow(c *proc.Cluster, duty string, not *proc.Host) *proc.Host {
	for _, h := range c.Hosts {
		if h == not || h.Exited() {
			continue
		}
		status, ok := h.Status()
		if !ok {
			continue
		}
		for _, d := range status.Duties {
			if d.Duty == duty && d.Holder == h.Name {
				return h
			}
		}
	}
	return nil
}

// otherURLs returns the URLs of all daemons but one.
func otherURLs(c *proc.Cluster, not *proc.Host) []string {
	var urls []string
	for _, h := range c.Hosts {
		if h != not {
			urls = append(urls, h.URL())
		}
	}
	return urls
}

// rolloutLedger reads a rollout's ledger from the store.
func rolloutLedger(t *testing.T, c *proc.Cluster) lots.Ledger {
	t.Helper()
	var record struct{ Ledger []byte }
	var ledger lots.Ledger
	o, ok := c.Object("Duty/" + rolloutDuty)
	if !ok || json.Unmarshal(o.Value, &record) != nil || len(record.Ledger) == 0 {
		return ledger
	}
	if err := json.Unmarshal(record.Ledger, &ledger); err != nil {
		t.Fatal(err)
	}
	return ledger
}

// checkOnce fails for each sample that stands in more than one of the lots that the trainer took.
func checkOnce(t *testing.T, taken ...wire.Lot) {
	t.Helper()
	seen := map[string]bool{}
	for _, lot := range taken {
		for _, s := range lot.Samples {
			if seen[s.ID] {
				t.Errorf("sample %s was delivered twice", s.ID)
			}
			seen[s.ID] = true
		}
	}
}
