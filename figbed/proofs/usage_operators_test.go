package proofs

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/apply"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	operatorBound = 5 * time.Second
	exitConflict  = 4
	exitNotStored = 5
)

// desk runs figctl against a cluster.
type desk struct {
	*proc.Cluster
	t          *testing.T
	folder     string
	credential string // file
}

func newDesk(t *testing.T) *desk {
	t.Helper()
	c := &proc.Cluster{Daemons: 3, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
	c.Start(t)
	waitAdmitted(t, c)
	d := &desk{Cluster: c, t: t, folder: t.TempDir()}
	d.credential = d.file("credential", "operators-credential-of-the-tests\n")
	return d
}

func (d *desk) file(name, text string) string {
	d.t.Helper()
	path := filepath.Join(d.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// figctl runs one command and returns its output and exit code.
func (d *desk) figctl(args ...string) (string, int) {
	d.t.Helper()
	cmd := exec.Command(proc.Program(d.t, "figctl"), args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		d.t.Fatalf("figctl: %v", err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// change runs a command that changes the store and waits for the hosts.
func (d *desk) change(args ...string) (string, int) {
	d.t.Helper()
	return d.figctl(append(args, "--platform", d.Store.URL(), "--operators", d.Hosts[0].Operators,
		"--credential-file", d.credential, "--wait", operatorBound.String())...)
}

func (d *desk) must(out string, code int) string {
	d.t.Helper()
	if code != 0 {
		d.t.Fatalf("figctl exits with %d: %s", code, out)
	}
	return out
}

// show writes the stored configuration to a file and returns its path.
func (d *desk) show(name string) string {
	d.t.Helper()
	return d.file(name, d.must(d.figctl("config", "show", "--platform", d.Store.URL())))
}

func TestOperatorChangesTheConfiguration(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	base := d.show("base.ini")
	overlay := d.file("site.ini", "[Organisation East]\nWeight = 3\n")
	out := d.must(d.change("config", "apply", "--config", base, "--overlay", overlay, "--after", "1"))
	if !strings.Contains(out, "accepted: revision 2") {
		t.Errorf("output %q", out)
	}
	inForce := 0
	for _, h := range d.Hosts {
		if s, _ := h.Status(); s.ConfigRevision == 2 {
			inForce++
		}
	}
	if inForce < 2 {
		t.Errorf("accepted with %d of 3 hosts", inForce)
	}
	if out, code := d.change("config", "apply", "--config", base, "--overlay", overlay, "--after", "1"); code != exitConflict {
		t.Errorf("an older revision gives exit code %d: %s", code, out)
	}
}

func TestOperatorsAtOnceLoseNothing(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	base := d.show("base.ini")
	var group sync.WaitGroup
	codes := make([]int, 4)
	outs := make([]string, len(codes))
	for i := range codes {
		group.Go(func() {
			overlay := d.file(fmt.Sprintf("site%d.ini", i), fmt.Sprintf("[Organisation New%d]\nWeight = 3\n", i))
			outs[i], codes[i] = d.change("config", "apply", "--config", base, "--overlay", overlay, "--after", "1")
		})
	}
	group.Wait()
	won := 0
	for i, code := range codes {
		if code == 0 {
			won++
			if out := d.must(d.figctl("config", "show", "--platform", d.Store.URL())); !strings.Contains(out, fmt.Sprintf("[Organisation New%d]", i)) {
				t.Errorf("operator %d was told accepted, and its change is not stored", i)
			}
		} else if code != exitConflict {
			t.Errorf("operator %d: exit code %d: %s", i, code, outs[i])
		}
	}
	if won != 1 {
		t.Errorf("%d operators won: %v", won, codes)
	}
}

// TestOperatorIsNotToldAcceptedTooEarly cuts all hosts but one from the store and from each other.
func TestOperatorIsNotToldAcceptedTooEarly(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	base := d.show("base.ini")
	for _, h := range d.Hosts[1:] {
		h.Store.Cut()
		h.CutPeers()
	}
	overlay := d.file("site.ini", "[Organisation East]\nWeight = 3\n")
	out, code := d.change("config", "apply", "--config", base, "--overlay", overlay, "--after", "1")
	if code != exitNotStored || strings.Contains(out, "accepted") || !strings.Contains(out, "stored: revision 2") {
		t.Errorf("exit code %d: %s", code, out)
	}
}

func TestOperatorLosesAnAnswer(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	base := d.show("base.ini")
	overlay := d.file("site.ini", "[Organisation East]\nWeight = 3\n")
	d.SetFaults(wire.Faults{LoseAnswers: 1, LosePrefix: apply.SiteObject})
	d.must(d.change("config", "apply", "--config", base, "--overlay", overlay, "--after", "1"))
	d.SetFaults(wire.Faults{LoseAnswers: 1, LosePrefix: keys.Prefix})
	out := d.must(d.change("key", "give", "--organisation", "East"))
	d.SetFaults(wire.Faults{LoseAnswers: 1, LosePrefix: keys.Prefix})
	d.must(d.change("key", "withdraw", "--hash", field(out, "hash:")))
	if object, _ := d.Object(apply.SiteObject); object.Version != 2 {
		t.Errorf("the configuration was written %d times, want 2", object.Version)
	}
}

// field returns the word behind a label.
func field(out, label string) string {
	_, rest, _ := strings.Cut(out, label)
	words := strings.Fields(rest)
	if len(words) == 0 {
		return ""
	}
	return words[0]
}

func TestOperatorGivesAndWithdrawsAKey(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	if out, code := d.change("key", "give", "--organisation", "Nobody"); code == 0 {
		t.Errorf("a key for an unknown organisation: %s", out)
	}
	out := d.must(d.change("key", "give", "--organisation", "North"))
	key, hash := field(out, "key:"), field(out, "hash:")
	for _, h := range d.Hosts {
		proc.WaitUntil(t, operatorBound, "the key works on "+h.Name, func() bool { return h.Get("/lookup", key).Status == http.StatusOK })
	}
	list := d.must(d.figctl("key", "list", "--platform", d.Store.URL()))
	if !strings.Contains(list, hash) || strings.Contains(list, key) {
		t.Errorf("key list: %s", list)
	}
	out = d.must(d.change("key", "withdraw", "--key-file", d.file("key", key)))
	if strings.Contains(out, key) {
		t.Errorf("the key is printed again: %s", out)
	}
	for _, h := range d.Hosts {
		proc.WaitUntil(t, operatorBound, "the key is refused on "+h.Name, func() bool {
			a := h.Get("/lookup", key)
			return a.Header.Get(headerKind) == string(kinds.KeyWithdrawn)
		})
	}
	for _, h := range d.Hosts {
		if strings.Contains(h.Output(), key) {
			t.Errorf("%s logs the key", h.Name)
		}
	}
}

func TestOperatorCreatesARolloutOnce(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	prompts := d.file("prompts", "one\n\ntwo\n")
	args := []string{"rollout", "create", "--name", "drafts", "--organisation", "North", "--model", "m", "--prompts", prompts, "--platform", d.Store.URL()}
	d.must(d.figctl(args...))
	if out, code := d.figctl(args...); code != exitConflict {
		t.Errorf("the same rollout again gives exit code %d: %s", code, out)
	}
	if out, code := d.figctl("rollout", "create", "--name", "a/b", "--groups", "0", "--prompts", prompts, "--platform", d.Store.URL()); code == 0 || strings.Count(out, "want ") < 4 {
		t.Errorf("a bad rollout gives exit code %d: %s", code, out)
	}
}

// TestMalformedObjectsChangeNothing puts objects into the store that no figctl would write.
func TestMalformedObjectsChangeNothing(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		name  string
		value any
	}{
		"no configuration":  {apply.SiteObject, "nonsense"},
		"wrong types":       {apply.SiteObject, map[string]any{"Revision": "nine", "Lease": 4}},
		"out of range":      {apply.SiteObject, config.Site{Revision: 9}},
		"no shard":          {keys.Prefix + "0", []int{1, 2}},
		"no host":           {"Hosts/h9", 17},
		"no lease":          {"Duty/Usage", "gone"},
		"no rollout":        {wire.PrefixRollouts + "x", map[string]any{"Groups": "many"}},
		"a rollout of none": {wire.PrefixRollouts + "y", wire.RolloutSpec{}},
	}
	d := newDesk(t)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d.Put(c.name, c.value)
			for _, h := range d.Hosts {
				proc.WaitUntil(t, operatorBound, h.Name+" serves", func() bool { return h.Get("/lookup", d.Key("North")).Status == http.StatusOK })
				if s, ok := h.Status(); ok && s.ConfigRevision != 1 {
					t.Errorf("%s: revision %d is in force", h.Name, s.ConfigRevision)
				}
			}
		})
	}
	time.Sleep(time.Second)
	for _, h := range d.Hosts {
		if h.Exited() {
			t.Errorf("%s has ended", h.Name)
		}
		if diff := cmp.Diff(http.StatusOK, h.Get("/lookup", d.Key("North")).Status); diff != "" {
			t.Errorf("%s: %s", h.Name, diff)
		}
	}
}
