package config_test

import (
	"os"
	"strings"
	"testing"

	"github.com/figshift/figshift/internal/config"
)

func TestEverySettingIsOnTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range config.Settings() {
		row := "| " + s.Section + " | " + s.Key + " | " + s.Default + " | " + s.Allowed + " |"
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/OPERATIONS.md lacks the row\n%s", row)
		}
	}
}

func TestExamplesAreValid(t *testing.T) {
	cases := map[string]struct {
		overlay string
		host    bool
	}{
		"site":  {overlay: "site.ini"},
		"host1": {overlay: "host1.ini", host: true},
		"host2": {overlay: "host2.ini", host: true},
		"host3": {overlay: "host3.ini", host: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, problems := config.Load("../../examples/base.ini", "../../examples/"+c.overlay)
			if c.host {
				problems = append(problems, l.CheckProcess()...)
			}
			if len(problems) > 0 {
				t.Error(problems)
			}
		})
	}
}
