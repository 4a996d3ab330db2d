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
	acceptTimeout   = 5 * time.Second
	exitConflict    = 4
	exitNotAccepted = 5
)

// operatorCLI runs figctl against a cluster, as an operator does.
type operatorCLI struct {
	*proc.Cluster
	t          *testing.T
	dir        string
	credential string // path of the file
}

func startOperatorCLI(t *testing.T) *operatorCLI {
	t.Helper()
	c := &proc.Cluster{Daemons: 3, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
	c.Start(t)
	waitAdmission(t, c)
	o := &operatorCLI{Cluster: c, t: t, dir: t.TempDir()}
	o.credential = o.writeFile("credential", "operators-credential-of-the-tests\n")
	return o
}

func (o *operatorCLI) writeFile(name, text string) string {
	o.t.Helper()
	path := filepath.Join(o.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		o.t.Fatal(err)
	}
	return path
}

// figctl runs one figctl command and returns its output and exit code.
func (o *operatorCLI) figctl(args ...string) (string, int) {
	o.t.Helper()
	cmd := exec.Command(proc.Program(o.t, "figctl"), args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		o.t.Fatalf("figctl: %v", err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// runChange runs a figctl command that changes the store and waits for a majority of the hosts.
func (o *operatorCLI) runChange(args ...string) (string, int) {
	o.t.Helper()
	return o.figctl(append(args, "--platform", o.PlatformProcess.URL(), "--operators", o.Hosts[0].Operators,
		"--credential-file", o.credential, "--wait", acceptTimeout.String())...)
}

func (o *operatorCLI) requireSuccess(out string, code int) string {
	o.t.Helper()
	if code != 0 {
		o.t.Fatalf("figctl: exit code %d: %s", code, out)
	}
	return out
}

// saveConfig writes the stored configuration to a file and returns its path.
func (o *operatorCLI) saveConfig(name string) string {
	o.t.Helper()
	return o.writeFile(name, o.requireSuccess(o.figctl("config", "show", "--platform", o.PlatformProcess.URL())))
}

// An operator applies a configuration. It must be in force on a majority of the hosts when figctl reports it accepted,
// and a second change of the same revision must fail as a conflict.
func TestOperatorChangesTheConfiguration(t *testing.T) {
	t.Parallel()
	cli := startOperatorCLI(t)
	base := cli.saveConfig("base.ini")
	overlay := cli.writeFile("site.ini", "[Organisation East]\nWeight = 3\n")
	out := cli.requireSuccess(cli.runChange("config", "apply", "--config", base, "--overlay", overlay, "--after", "1"))
	if !strings.Contains(out, "accepted: revision 2") {
		t.Errorf("output %q", out)
	}
	inForce := 0
	for _, h := range cli.Hosts {
		if s, _ := h.Status(); s.ConfigRevision == 2 {
			inForce++
		}
	}
	if inForce < 2 {
		t.Errorf("accepted, but in force on %d of 3 hosts only", inForce)
	}
	if out, code := cli.runChange("config", "apply", "--config", base, "--overlay", overlay, "--after", "1"); code != exitConflict {
		t.Errorf("a change of an older revision: exit code %d: %s", code, out)
	}
}

// Four operators apply different changes of the same revision concurrently. Exactly one must succeed and be stored,
// and the others must fail with a conflict.
func TestOperatorsAtOnceLoseNothing(t *testing.T) {
	t.Parallel()
	cli := startOperatorCLI(t)
	base := cli.saveConfig("base.ini")
	var group sync.WaitGroup
	codes := make([]int, 4)
	outputs := make([]string, len(codes))
	for i := range codes {
		group.Go(func() {
			overlay := cli.writeFile(fmt.Sprintf("site%d.ini", i), fmt.Sprintf("[Organisation New%d]\nWeight = 3\n", i))
			outputs[i], codes[i] = cli.runChange("config", "apply", "--config", base, "--overlay", overlay, "--after", "1")
		})
	}
	group.Wait()
	succeeded := 0
	for i, code := range codes {
		if code == 0 {
			succeeded++
			if out := cli.requireSuccess(cli.figctl("config", "show", "--platform", cli.PlatformProcess.URL())); !strings.Contains(out, fmt.Sprintf("[Organisation New%d]", i)) {
				t.Errorf("operator %d: the change was accepted, but is not stored", i)
			}
		} else if code != exitConflict {
			t.Errorf("operator %d: exit code %d: %s", i, code, outputs[i])
		}
	}
	if succeeded != 1 {
		t.Errorf("%d operators succeeded: %v", succeeded, codes)
	}
}

// Two of three hosts are cut off from the store and from their peers. figctl must report a change as stored, but not as
// accepted.
func TestOperatorIsNotToldAcceptedTooEarly(t *testing.T) {
	t.Parallel()
	cli := startOperatorCLI(t)
	base := cli.saveConfig("base.ini")
	for _, h := range cli.Hosts[1:] {
		h.PlatformLink.Cut()
		h.CutPeers()
	}
	overlay := cli.writeFile("site.ini", "[Organisation East]\nWeight = 3\n")
	out, code := cli.runChange("config", "apply", "--config", base, "--overlay", overlay, "--after", "1")
	if code != exitNotAccepted || strings.Contains(out, "accepted") || !strings.Contains(out, "stored: revision 2") {
		t.Errorf("exit code %d: %s", code, out)
	}
}

// The store's response to a write of figctl is lost after the write took effect. The command must succeed without
// writing twice.
func TestOperatorLosesAnAnswer(t *testing.T) {
	t.Parallel()
	cli := startOperatorCLI(t)
	base := cli.saveConfig("base.ini")
	overlay := cli.writeFile("site.ini", "[Organisation East]\nWeight = 3\n")
	cli.SetFaults(wire.Faults{LoseAnswers: 1, LosePrefix: apply.SiteObjectName})
	cli.requireSuccess(cli.runChange("config", "apply", "--config", base, "--overlay", overlay, "--after", "1"))
	cli.SetFaults(wire.Faults{LoseAnswers: 1, LosePrefix: keys.Prefix})
	out := cli.requireSuccess(cli.runChange("key", "give", "--organisation", "East"))
	cli.SetFaults(wire.Faults{LoseAnswers: 1, LosePrefix: keys.Prefix})
	cli.requireSuccess(cli.runChange("key", "withdraw", "--hash", valueAfter(out, "hash:")))
	if object, _ := cli.Object(apply.SiteObjectName); object.Version != 2 {
		t.Errorf("the configuration was written %d times, want 2", object.Version)
	}
}

// valueAfter returns the first word after a label.
func valueAfter(out, label string) string {
	_, rest, _ := strings.Cut(out, label)
	words := strings.Fields(rest)
	if len(words) == 0 {
		return ""
	}
	return words[0]
}

// A key is issued and withdrawn. Every host must accept it and then refuse it, and neither figctl nor the hosts' logs
// may show it after it was issued.
func TestOperatorGivesAndWithdrawsAKey(t *testing.T) {
	t.Parallel()
	cli := startOperatorCLI(t)
	if out, code := cli.runChange("key", "give", "--organisation", "Nobody"); code == 0 {
		t.Errorf("a key was issued for an unknown organisation: %s", out)
	}
	out := cli.requireSuccess(cli.runChange("key", "give", "--organisation", "North"))
	key, hash := valueAfter(out, "key:"), valueAfter(out, "hash:")
	for _, h := range cli.Hosts {
		proc.WaitUntil(t, acceptTimeout, "the key works on "+h.Name, func() bool { return h.Get("/lookup", key).Status == http.StatusOK })
	}
	list := cli.requireSuccess(cli.figctl("key", "list", "--platform", cli.PlatformProcess.URL()))
	if !strings.Contains(list, hash) || strings.Contains(list, key) {
		t.Errorf("key list: %s", list)
	}
	out = cli.requireSuccess(cli.runChange("key", "withdraw", "--key-file", cli.writeFile("key", key)))
	if strings.Contains(out, key) {
		t.Errorf("the key is printed again: %s", out)
	}
	for _, h := range cli.Hosts {
		proc.WaitUntil(t, acceptTimeout, "the key is refused on "+h.Name, func() bool {
			a := h.Get("/lookup", key)
			return a.Header.Get(headerKind) == string(kinds.KeyWithdrawn)
		})
	}
	for _, h := range cli.Hosts {
		if strings.Contains(h.Output(), key) {
			t.Errorf("%s logs the key", h.Name)
		}
	}
}

func TestOperatorCreatesARolloutOnce(t *testing.T) {
	t.Parallel()
	cli := startOperatorCLI(t)
	prompts := cli.writeFile("prompts", "one\n\ntwo\n")
	args := []string{"rollout", "create", "--name", "drafts", "--organisation", "North", "--model", "m", "--prompts", prompts, "--platform", cli.PlatformProcess.URL()}
	cli.requireSuccess(cli.figctl(args...))
	if out, code := cli.figctl(args...); code != exitConflict {
		t.Errorf("the same rollout again: exit code %d: %s", code, out)
	}
	if out, code := cli.figctl("rollout", "create", "--name", "a/b", "--groups", "0", "--prompts", prompts, "--platform", cli.PlatformProcess.URL()); code == 0 || strings.Count(out, "want ") < 4 {
		t.Errorf("an invalid rollout: exit code %d: %s", code, out)
	}
}

// Malformed objects, which figctl would never write, are put into the store. The daemons must ignore them, keep the
// configuration in force and go on serving.
func TestMalformedObjectsChangeNothing(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		name  string
		value any
	}{
		"no configuration":  {apply.SiteObjectName, "nonsense"},
		"wrong types":       {apply.SiteObjectName, map[string]any{"Revision": "nine", "Lease": 4}},
		"out of range":      {apply.SiteObjectName, config.Site{Revision: 9}},
		"no shard":          {keys.Prefix + "0", []int{1, 2}},
		"no host":           {"Hosts/h9", 17},
		"no lease":          {"Duty/Usage", "gone"},
		"no rollout":        {wire.PrefixRollouts + "x", map[string]any{"Groups": "many"}},
		"a rollout of none": {wire.PrefixRollouts + "y", wire.RolloutSpec{}},
	}
	cli := startOperatorCLI(t)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cli.Put(c.name, c.value)
			for _, h := range cli.Hosts {
				proc.WaitUntil(t, acceptTimeout, h.Name+" serves", func() bool { return h.Get("/lookup", cli.Key("North")).Status == http.StatusOK })
				if s, ok := h.Status(); ok && s.ConfigRevision != 1 {
					t.Errorf("%s: revision %d is in force", h.Name, s.ConfigRevision)
				}
			}
		})
	}
	time.Sleep(time.Second)
	for _, h := range cli.Hosts {
		if h.Exited() {
			t.Errorf("%s has exited", h.Name)
		}
		if diff := cmp.Diff(http.StatusOK, h.Get("/lookup", cli.Key("North")).Status); diff != "" {
			t.Errorf("%s: %s", h.Name, diff)
		}
	}
}
