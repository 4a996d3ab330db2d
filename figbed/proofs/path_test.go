package proofs

import (
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/drill"
	"github.com/figshift/figshift/figbed/internal/engin"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const headerKind = "X-Figshift-Kind"

func startPathCluster(t *testing.T) *proc.Cluster {
	t.Helper()
	c := &proc.Cluster{
		Daemons:  2,
		Engines:  []proc.Endpoint{{Name: "e1", Zone: "a"}, {Name: "e2", Zone: "b"}},
		Services: []proc.Endpoint{{Name: "s1", Zone: "a"}},
	}
	c.Start(t)
	return c
}

func TestPathOfACall(t *testing.T) {
	t.Parallel()
	c := startPathCluster(t)
	cases := map[string]struct {
		path   string
		key    string
		status int
		kind   kinds.Kind
	}{
		"PlainCall":   {"/lookup?Id=1", c.Key("North"), http.StatusOK, ""},
		"OpenRoute":   {"/open?Id=2", "", http.StatusOK, ""},
		"NoKey":       {"/lookup?Id=3", "", http.StatusUnauthorized, kinds.KeyMissing},
		"WrongKey":    {"/lookup?Id=4", "no-such-key", http.StatusUnauthorized, kinds.KeyUnknown},
		"NoSuchRoute": {"/nowhere", c.Key("North"), http.StatusNotFound, kinds.RouteUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			a := c.Hosts[0].Post(test.path, test.key, "hello")
			got := []any{a.Status, kinds.Kind(a.Header.Get(headerKind))}
			if diff := cmp.Diff([]any{test.status, test.kind}, got); diff != "" {
				t.Errorf("status and kind (-want +got):\n%s\nbody: %s, error: %v", diff, a.Body, a.Err)
			}
			if a.Status == http.StatusOK && a.Echo().Body != "hello" {
				t.Errorf("the service got body %q", a.Echo().Body)
			}
		})
	}
	if found := c.Endpoints["s1"].Received().Contains(c.Key("North")); len(found) > 0 {
		t.Errorf("the service saw the key: %+v", found)
	}
}

func TestPathOfAGeneration(t *testing.T) {
	t.Parallel()
	c := startPathCluster(t)
	for _, h := range c.Hosts {
		g := wire.Generate{Model: proc.Model, Prompt: "the history of an author", MaxTokens: 40, Seed: 5}
		a := h.Generate(c.Key("South"), g)
		if !a.Complete() {
			t.Fatalf("%s: incomplete answer: status %d, error %v: %s", h.Name, a.Status, a.Err, a.Body)
		}
		if diff := cmp.Diff(engin.Tokens(g), a.Tokens()); diff != "" {
			t.Errorf("%s: tokens (-want +got):\n%s", h.Name, diff)
		}
		last := a.Segments[len(a.Segments)-1]
		if diff := cmp.Diff([]int{5, 40}, []int{last.PromptTokens, last.GeneratedTokens}); diff != "" {
			t.Errorf("%s: prompt and generated tokens (-want +got):\n%s", h.Name, diff)
		}
	}
}

// Daemons that serve callers and a trainer record every step of their reducer. A replay of each record through a fresh
// reducer must give the same steps; otherwise the reducer depends on something that is not recorded.
func TestRecordedRunReplays(t *testing.T) {
	t.Parallel()
	spec := drill.Spec()
	c := drill.NewCluster(2, spec)
	c.Services = []proc.Endpoint{{Name: "s1", Zone: "a"}}
	c.Record = true
	c.Start(t)
	c.CreateRollout(spec)
	drill.Train(t, c, spec, time.Minute, nil)
	for _, h := range c.Hosts {
		h.Post("/lookup?Id=1", c.Key("North"), "hello")
		h.Post("/write?Id=2", "no-such-key", "hello")
		h.Generate(c.Key("South"), wire.Generate{Model: proc.Model, Prompt: "the history of an author", MaxTokens: 20})
	}
	for _, h := range c.Hosts {
		h.Signal(syscall.SIGTERM)
		if code := h.ExitCode(time.Minute); code != 0 {
			t.Errorf("%s: exit code %d", h.Name, code)
		}
		out, err := exec.Command(proc.Program(t, "figd"), "--replay", h.TraceFile()).CombinedOutput()
		if err != nil || !strings.Contains(string(out), "Same=true") {
			t.Errorf("%s: replay: %v: %s", h.Name, err, out)
		}
	}
}
