package config_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
)

const siteSections = `[Limits]
QueuePerOrg = 40
[Organisation library]
Weight = 3
[Route draft]
Prefix = /v1/#draft
Model = citation
Class = Background
Idempotent = true
[Rollout library]
MaxStaleness = 2
[Zone z1]
Model = citation
OnDemandFloor = 1
StartTime = 1m30s
`

func TestRenderIsReadBack(t *testing.T) {
	base := writeFile(t, "base.ini", siteSections+hostSection)
	first, problems := config.Load(base, "")
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	text := first.Render()
	for _, want := range []string{"QueuePerOrg = 40 ; " + base + ":2\n", "QueuePerDaemon = 2000 ; default\n", "[Host]\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in:\n%s", want, text)
		}
	}
	again, problems := config.Load(writeFile(t, "again.ini", text), "")
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if diff := cmp.Diff(first.Site, again.Site); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(first.Process, again.Process); diff != "" {
		t.Error(diff)
	}
	if strings.Contains(config.RenderSite(first.Site), "[Host]") {
		t.Error("RenderSite rendered the section Host")
	}
}
