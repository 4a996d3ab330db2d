package drill

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

// The rollout of the tests, its trainer, and the bounds of what they wait for.
const (
	Rollout      = "tariffs"
	RolloutDuty  = wire.PrefixRolloutDuty + Rollout
	Trainer      = "trainer-1"
	LotBound     = 20 * time.Second // for a lot that waits for a takeover
	TakeOverTime = 15 * time.Second
)

// Spec is a small rollout of organisation North.
func Spec() wire.RolloutSpec {
	spec := wire.RolloutSpec{
		Name: Rollout, Organisation: "North", Model: proc.Model, Groups: 4, SamplesPerGroup: 4, SpareGroups: 1,
		MaxTokens: 24, MaxStaleness: 2, SealAhead: 1,
	}
	for i := range 16 {
		spec.Prompts = append(spec.Prompts, "explain tariff number "+strconv.Itoa(i))
	}
	return spec
}

// RunRollout runs daemons and two engines, and creates the rollout.
func RunRollout(t testing.TB, daemons int, spec wire.RolloutSpec, engine ...string) *proc.Cluster {
	t.Helper()
	c := NewCluster(daemons, spec, engine...)
	c.Start(t)
	c.CreateRollout(spec)
	return c
}

// NewCluster returns a cluster for a rollout, not yet started.
func NewCluster(daemons int, spec wire.RolloutSpec, engine ...string) *proc.Cluster {
	c := &proc.Cluster{
		Daemons: daemons,
		Engines: []proc.Endpoint{{Name: "e1", Zone: "a", Args: engine}, {Name: "e2", Zone: "b", Args: engine}},
	}
	if spec.Scorer != "" {
		c.Scorers = []proc.Endpoint{{Name: "s1", Zone: "a", Service: spec.Scorer}}
	}
	return c
}

// URLs returns the base URLs of all daemons.
func URLs(c *proc.Cluster) []string {
	var urls []string
	for _, h := range c.Hosts {
		urls = append(urls, h.URL())
	}
	return urls
}

// Train runs the stand-in of a trainer to its end and fails on each problem that it saw.
func Train(t testing.TB, c *proc.Cluster, spec wire.RolloutSpec, bound time.Duration, change func(*trnr.Trainer)) trnr.Summary {
	t.Helper()
	trainer := &trnr.Trainer{
		Daemons: URLs(c), Key: c.Key(spec.Organisation), Rollout: spec.Name, Consumer: Trainer,
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

// Reply is a daemon's answer to a trainer's call.
type Reply struct {
	Status int
	Kind   kinds.Kind
	Body   []byte
	Err    error
}

// Lot returns the lot of the answer.
func (r Reply) Lot(t testing.TB) wire.Lot {
	t.Helper()
	var lot wire.Lot
	if err := json.Unmarshal(r.Body, &lot); err != nil {
		t.Fatalf("not a lot: %v, %s", err, r.Body)
	}
	return lot
}

// Call makes one trainer's call.
func Call(url, key, call string, ask any) Reply {
	data, err := json.Marshal(ask)
	if err != nil {
		return Reply{Err: err}
	}
	req, err := http.NewRequest(http.MethodPost, url+wire.PathRollouts+Rollout+"/"+call, bytes.NewReader(data))
	if err != nil {
		return Reply{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	var refusal struct{ Kind kinds.Kind }
	if resp.StatusCode != http.StatusOK {
		_ = json.Unmarshal(body, &refusal)
	}
	return Reply{Status: resp.StatusCode, Kind: refusal.Kind, Body: body, Err: err}
}

// AskLot asks one daemon for the lot after cursor.
func AskLot(c *proc.Cluster, url, consumer string, cursor uint64) Reply {
	return Call(url, c.Key("North"), wire.CallLots, wire.LotAsk{Consumer: consumer, Cursor: cursor})
}

// TakeLot asks the daemons in turn until the lot after cursor comes.
func TakeLot(t testing.TB, c *proc.Cluster, urls []string, cursor uint64) wire.Lot {
	t.Helper()
	var r Reply
	i := 0
	proc.WaitUntil(t, LotBound, fmt.Sprintf("lot %d is handed over", cursor+1), func() bool {
		r = AskLot(c, urls[i%len(urls)], Trainer, cursor)
		i++
		return r.Status == http.StatusOK && r.Err == nil
	})
	return r.Lot(t)
}

// PublishVersion publishes at the daemons in turn until one confirms.
func PublishVersion(t testing.TB, c *proc.Cluster, urls []string, version uint64) {
	t.Helper()
	i := 0
	proc.WaitUntil(t, LotBound, fmt.Sprintf("version %d is published", version), func() bool {
		r := Call(urls[i%len(urls)], c.Key("North"), wire.CallVersions, wire.Publish{Consumer: Trainer, Version: version})
		i++
		return r.Status == http.StatusOK
	})
}

// HolderBut returns the daemon that holds a duty, other than the one given.
func HolderBut(t testing.TB, c *proc.Cluster, duty string, not *proc.Host) *proc.Host {
	t.Helper()
	var found *proc.Host
	proc.WaitUntil(t, TakeOverTime, "a daemon holds "+duty, func() bool {
		found = HolderNow(c, duty, not)
		return found != nil
	})
	return found
}

// HolderNow asks each daemon itself whether it holds a duty.
func HolderNow(c *proc.Cluster, duty string, not *proc.Host) *proc.Host {
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

// OtherURLs returns the URLs of all daemons but one.
func OtherURLs(c *proc.Cluster, not *proc.Host) []string {
	var urls []string
	for _, h := range c.Hosts {
		if h != not {
			urls = append(urls, h.URL())
		}
	}
	return urls
}

// RolloutLedger reads a rollout's ledger from the store.
func RolloutLedger(t testing.TB, c *proc.Cluster) lots.Ledger {
	t.Helper()
	var record struct{ Ledger []byte }
	var ledger lots.Ledger
	o, ok := c.Object("Duty/" + RolloutDuty)
	if !ok || json.Unmarshal(o.Value, &record) != nil || len(record.Ledger) == 0 {
		return ledger
	}
	if err := json.Unmarshal(record.Ledger, &ledger); err != nil {
		t.Fatal(err)
	}
	return ledger
}

// CheckOnce fails for each sample that stands in more than one of the lots that the trainer took.
func CheckOnce(t testing.TB, taken ...wire.Lot) {
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
