package conns

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// uncheckedReader matches what reads answers by way of net/http alone.
var uncheckedReader = regexp.MustCompile(`http\.Transport\{|http\.Client\{\}|http\.Client\{Timeout|http\.Default(Client|Transport)|http\.(Get|Post|Head|ReadResponse)\(`)

// A reader with a transport of its own took broken answers for whole ones.
func TestAllReadersAreChecked(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, dir := range []string{"internal", "platform", "figd", "figctl"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") || filepath.Base(filepath.Dir(path)) == "conns" {
				return err
			}
			source, err := os.ReadFile(path)
			for n, line := range strings.Split(string(source), "\n") {
				if uncheckedReader.MatchString(strings.ReplaceAll(line, "conns.Check(&http.Transport{", "")) {
					t.Errorf("%s:%d: %s", path, n+1, strings.TrimSpace(line))
				}
			}
			return err
		})
		if err != nil {
			t.Error(err)
		}
	}
}
