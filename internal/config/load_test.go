package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
)

const hostSection = `[Host]
Host = h1
Zone = z1
Listen = 127.0.0.1:8080
Operators = 127.0.0.1:8081
Peer = 127.0.0.1:8082
Platform = http://127.0.0.1:9000
PeerSecretFile = secret
CredentialFile = credential
`

func TestLoadMergesOverlay(t *testing.T) {
	base := writeFile(t, "base.ini", hostSection+"[Lease]\nTTL = 4s\nRenew = 1s\n[Organisation library]\nWeight = 3\n")
	overlay := writeFile(t, "site.ini", "[Lease]\nRenew = 500ms\n[Organisation clerks]\nWeight = 2\n[Host]\nHost = h2\n")
	l, problems := config.Load(base, overlay)
	if len(problems)+len(l.CheckProcess()) > 0 {
		t.Fatal(problems, l.CheckProcess())
	}
	lease := config.Lease{TTL: 4 * time.Second, Renew: 500 * time.Millisecond, Margin: time.Second, OrderFlight: time.Second}
	if diff := cmp.Diff(lease, l.Site.Lease); diff != "" {
		t.Error(diff)
	}
	organisations := map[string]config.Organisation{"library": {Name: "library", Weight: 3}, "clerks": {Name: "clerks", Weight: 2}}
	if diff := cmp.Diff(organisations, l.Site.Organisations); diff != "" {
		t.Error(diff)
	}
	origins := map[string]config.Origin{
		"Lease.TTL":   {File: base, Line: 11},
		"Lease.Renew": {File: overlay, Line: 2},
		"Host.Host":   {File: overlay, Line: 6},
	}
	for key, want := range origins {
		if diff := cmp.Diff(want, l.Origins[key]); diff != "" {
			t.Error(key, diff)
		}
	}
	if _, given := l.Origins["Lease.Margin"]; given {
		t.Error("Origins has an entry for a setting left at its default")
	}
}

func TestLoadRefuses(t *testing.T) {
	cases := map[string]struct {
		text string
		want []string
	}{
		"malformed INI":   {"[Lease\nTTL = 4s\n", []string{"base.ini:0: [file]"}},
		"binary":          {"\x00\xff\x01", []string{"base.ini:0: [file]"}},
		"unknown section": {"[Leese]\nTTL = 4s\n", []string{"base.ini:2: [Leese]: no such section"}},
		"outside":         {"TTL = 4s\n", []string{"base.ini:1: [DEFAULT]: no such section"}},
		"unknown key":     {"[Lease]\nTtl = 4s\n", []string{`base.ini:2: [Lease] Ttl = "4s": want no such key`}},
		"no unit":         {"[Lease]\nTTL = 4\n", []string{`base.ini:2: [Lease] TTL = "4": want a duration from 500ms to 1m`}},
		"not a number":    {"[Limits]\nQueuePerOrg = many\n", []string{`[Limits] QueuePerOrg = "many": want a whole number from 1 to 1000000`}},
		"not a boolean":   {"[Route a]\nPrefix = /a\nService = s\nOpen = yes\n", []string{`base.ini:4: [Route a] Open = "yes": want true or false`}},
		"out of range":    {"[Organisation a]\nWeight = 0\n", []string{`base.ini:2: [Organisation a] Weight = "0"`}},
		"not finite":      {"[Retry]\nBudgetShare = NaN\n", []string{`base.ini:2: [Retry] BudgetShare = "NaN"`}},
		"bad name":        {"[Organisation a b]\nWeight = 1\n", []string{"[Organisation a b]: no such section"}},
		"no keys":         {"[Organisation a]\n", []string{"base.ini:1: [Organisation a]: at least one key"}},
		"duplicate key":   {"[Lease]\nTTL = 4s\nTTL = 5s\n", []string{"base.ini:3: [Lease] TTL"}},
		"all at once":     {"[Lease]\nTTL = 4\n[Usage]\nGrace = -1s\n[X]\nY = 1\n", []string{"[Lease] TTL", "[X]", "[Usage] Grace"}},
		"margin":          {"[Lease]\nTTL = 2s\nMargin = 1500ms\n", []string{`base.ini:3: [Lease] Margin = "1.5s": want at most 1s, which is half of TTL`}},
		"renew":           {"[Lease]\nTTL = 5s\nRenew = 3s\n", []string{`base.ini:3: [Lease] Renew = "3s": want at most 2s`}},
		"heartbeat":       {"[Trust]\nBeat = 1s\n", []string{`base.ini:2: [Trust] Beat = "1s": want at most 666`}},
		"no target":       {"[Route a]\nPrefix = /a\n", []string{`[Route a] Service = "": want either Service or Model`}},
		"two targets":     {"[Route a]\nPrefix = /a\nService = s\nModel = m\n", []string{"either Service or Model, not both"}},
		"unknown model":   {"[Zone z]\nModel = m\nOnDemandFloor = 1\n[Route a]\nPrefix = /a\nModel = n\n", []string{`base.ini:6: [Route a] Model = "n": want the Model of some Zone section`}},
		"same prefix":     {"[Route a]\nPrefix = /a\nService = s\n[Route b]\nPrefix = /a\nService = s\n", []string{"other than that of Route a"}},
		"rollout":         {"[Rollout a]\nMaxGroups = 4\n", []string{"[Rollout a]: the name of an Organisation section"}},
		"one floor":       {"[Zone z]\nModel = m\nOnDemandFloor = 1\n[Zone y]\nModel = m\n[Route a]\nPrefix = /a\nModel = m\n", []string{"1 or more in at least 2 zones"}},
		"floor over max":  {"[Zone z]\nModel = m\nOnDemandFloor = 5\nMaxEndpoints = 4\nMaxCheap = 4\n", []string{`[Zone z] OnDemandFloor = "5": want at most MaxEndpoints`}},
		"bad host":        {"[Host]\nListen = localhost:80\nPeer = 1.2.3.4:99999\n", []string{"[Host] Listen", "[Host] Peer"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, problems := config.Load(writeFile(t, "base.ini", c.text), "")
			if len(problems) != len(c.want) {
				t.Fatalf("%d problems, want %d:\n%v", len(problems), len(c.want), problems)
			}
			for i, want := range c.want {
				if !strings.Contains(problems[i].String(), want) {
					t.Errorf("problem %q does not contain %q", problems[i], want)
				}
			}
		})
	}
}

func TestCheckProcessNamesWhatIsMissing(t *testing.T) {
	l, problems := config.Load(writeFile(t, "base.ini", "[Host]\nHost = h1\n"), "")
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	var keys []string
	for _, p := range l.CheckProcess() {
		keys = append(keys, p.Key)
	}
	want := []string{"Zone", "Listen", "Operators", "Peer", "Platform", "PeerSecretFile", "CredentialFile"}
	if diff := cmp.Diff(want, keys); diff != "" {
		t.Error(diff)
	}
}

func TestLoadMissingFile(t *testing.T) {
	_, problems := config.Load(filepath.Join(t.TempDir(), "none.ini"), "")
	if len(problems) != 1 {
		t.Fatalf("%d problems, want 1: %v", len(problems), problems)
	}
}

func TestDefaultsAreValid(t *testing.T) {
	if problems := config.Defaults().Problems(); len(problems) > 0 {
		t.Fatal(problems)
	}
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
