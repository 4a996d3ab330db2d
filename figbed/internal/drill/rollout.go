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

// Names of the tests' rollout and its trainer, and how long tests wait.
const (
	Rollout         = "tariffs"
	RolloutDuty     = wire.PrefixRolloutDuty + Rollout
	Trainer         = "trainer-1"
	LotTimeout      = 20 * time.Second // for a lot or a published version, including a takeover of the rollout's duty
	TakeoverTimeout = 15 * time.Second // for a takeover of a duty and its effects
)

// Spec returns the specification of a small rollout of organisation North.
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

// RunRollout starts a cluster of daemons and two engines, with the given engine flags, and creates the rollout.
func RunRollout(t testing.TB, daemons int, spec wire.RolloutSpec, engineArgs ...string) *proc.Cluster {
	t.Helper()
	c := NewCluster(daemons, spec, engineArgs...)
	c.Start(t)
	c.CreateRollout(spec)
	return c
}

// NewCluster returns a cluster for a rollout without starting it.
func NewCluster(daemons int, spec wire.RolloutSpec, engineArgs ...string) *proc.Cluster {
	c := &proc.Cluster{
		Daemons: daemons,
		Engines: []proc.Endpoint{{Name: "e1", Zone: "a", Args: engineArgs}, {Name: "e2", Zone: "b", Args: engineArgs}},
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

// Train runs a simulated trainer until it has all its lots or the timeout has passed. It fails the test for each problem that
// the trainer found. Configure may change the trainer before it runs, and may be nil.
func Train(t testing.TB, c *proc.Cluster, spec wire.RolloutSpec, timeout time.Duration, configure func(*trnr.Trainer)) trnr.Summary {
	t.Helper()
	trainer := &trnr.Trainer{
		Daemons: URLs(c), Key: c.Key(spec.Organisation), Rollout: spec.Name, Consumer: Trainer,
		Lots: 4, Count: spec.Groups * spec.SamplesPerGroup, MaxStaleness: uint64(spec.MaxStaleness), FirstVersion: 1, Publish: true,
	}
	if configure != nil {
		configure(trainer)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	summary, err := trainer.Run(ctx)
	t.Logf("%s", summary)
	if err != nil {
		t.Errorf("the trainer did not get all its lots: %v", err)
	}
	for _, p := range summary.Problems {
		t.Error(p)
	}
	return summary
}

// Reply is a daemon's response to a trainer's call.
type Reply struct {
	Status int
	Kind   kinds.Kind
	Body   []byte
	Err    error
}

// Lot decodes the lot in the reply's body. It fails the test if there is none.
func (r Reply) Lot(t testing.TB) wire.Lot {
	t.Helper()
	var lot wire.Lot
	if err := json.Unmarshal(r.Body, &lot); err != nil {
		t.Fatalf("decoding a lot: %v, body %s", err, r.Body)
	}
	return lot
}

// Call makes one trainer's call to a daemon for the tests' rollout.
func Call(url, key, call string, request any) Reply {
	data, err := json.Marshal(request)
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

// RequestLot asks a daemon once for the lot after cursor.
func RequestLot(c *proc.Cluster, url, consumer string, cursor uint64) Reply {
	return Call(url, c.Key("North"), wire.CallLots, wire.LotAsk{Consumer: consumer, Cursor: cursor})
}

// TakeLot asks the daemons in turn until one of them returns the lot after cursor.
func TakeLot(t testing.TB, c *proc.Cluster, urls []string, cursor uint64) wire.Lot {
	t.Helper()
	var reply Reply
	attempt := 0
	proc.WaitUntil(t, LotTimeout, fmt.Sprintf("lot %d is delivered", cursor+1), func() bool {
		reply = RequestLot(c, urls[attempt%len(urls)], Trainer, cursor)
		attempt++
		return reply.Status == http.StatusOK && reply.Err == nil
	})
	return reply.Lot(t)
}

// PublishVersion publishes a version to the daemons in turn until one of them confirms it.
func PublishVersion(t testing.TB, c *proc.Cluster, urls []string, version uint64) {
	t.Helper()
	attempt := 0
	proc.WaitUntil(t, LotTimeout, fmt.Sprintf("version %d is published", version), func() bool {
		reply := Call(urls[attempt%len(urls)], c.Key("North"), wire.CallVersions, wire.Publish{Consumer: Trainer, Version: version})
		attempt++
		return reply.Status == http.StatusOK
	})
}

// WaitHolderExcept waits until a daemon other than the excluded one holds a duty, and returns it.
func WaitHolderExcept(t testing.TB, c *proc.Cluster, duty string, excluded *proc.Host) *proc.Host {
	t.Helper()
	var holder *proc.Host
	proc.WaitUntil(t, TakeoverTimeout, "a daemon holds "+duty, func() bool {
		holder = FindHolder(c, duty, excluded)
		return holder != nil
	})
	return holder
}

// FindHolder asks each daemon, except the excluded one, for its status and returns the first that holds the duty. It
// returns nil if there is none.
func FindHolder(c *proc.Cluster, duty string, excluded *proc.Host) *proc.Host {
	for _, h := range c.Hosts {
		if h == excluded || h.Exited() {
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

// OtherURLs returns the base URLs of all daemons except the excluded one.
func OtherURLs(c *proc.Cluster, excluded *proc.Host) []string {
	var urls []string
	for _, h := range c.Hosts {
		if h != excluded {
			urls = append(urls, h.URL())
		}
	}
	return urls
}

// RolloutLedger returns the ledger of the tests' rollout from the store. The ledger is empty if there is none.
func RolloutLedger(t testing.TB, c *proc.Cluster) lots.Ledger {
	t.Helper()
	var record struct{ Ledger []byte }
	var ledger lots.Ledger
	object, ok := c.Object("Duty/" + RolloutDuty)
	if !ok || json.Unmarshal(object.Value, &record) != nil || len(record.Ledger) == 0 {
		return ledger
	}
	if err := json.Unmarshal(record.Ledger, &ledger); err != nil {
		t.Fatal(err)
	}
	return ledger
}

// CheckNoDuplicates fails the test for each sample that occurs more than once in the given lots.
func CheckNoDuplicates(t testing.TB, taken ...wire.Lot) {
	t.Helper()
	delivered := map[string]bool{}
	for _, lot := range taken {
		for _, s := range lot.Samples {
			if delivered[s.ID] {
				t.Errorf("sample %s was delivered twice", s.ID)
			}
			delivered[s.ID] = true
		}
	}
}
