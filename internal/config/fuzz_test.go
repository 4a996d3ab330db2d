package config_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/config"
)

// TestLoadTakesAnyText loads texts composed of fragments of settings. Load must not panic on any of them, and a text
// without problems must render to text that loads as the same site.
func TestLoadTakesAnyText(t *testing.T) {
	folder := t.TempDir()
	pieces := []string{
		"[Lease]", "[Route a]", "[Organisation o]", "[Zone z]", "[Host]", "[", "]", "=", "TTL", "Weight", "Prefix", "Model", "Service",
		"\n", "\n", "\n", " ", ";", "#", "\"", "`", "%(x)s", "\\", "5s", "3", "-1", "/a", "m", "true", "\x00", "é", "1e400", "99999999999999999999",
	}
	rapid.Check(t, func(t *rapid.T) {
		text := ""
		for _, p := range rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 40).Draw(t, "pieces") {
			text += p
		}
		file := filepath.Join(folder, "any.ini")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		first, problems := config.Load(file, "")
		if len(problems) > 0 {
			_ = problems.Error()
			return
		}
		if err := os.WriteFile(file, []byte(first.Render()), 0o600); err != nil {
			t.Fatal(err)
		}
		again, problems := config.Load(file, "")
		if len(problems) > 0 {
			t.Fatalf("the rendered text has problems:\n%v", problems)
		}
		if diff := cmp.Diff(first.Site, again.Site); diff != "" {
			t.Fatal(diff)
		}
	})
}
