package relay

import (
	"testing"

	"github.com/figshift/figshift/internal/golden"
)

const (
	goldenDir  = "../golden/testdata"
	goldenFile = "relay"
)

func forms() []golden.Form {
	return []golden.Form{golden.Msgpack[call]("store call"), golden.Msgpack[answer]("answer of a store call")}
}

// Guards against calls to the store that a host of another build can't make.
func TestFormsOfReleases(t *testing.T) {
	names := map[string]string{"get": opGet, "put": opPut, "delete": opDelete, "list": opList}
	golden.Check(t, goldenDir, goldenFile, names, forms()...)
}

func FuzzForms(f *testing.F) { golden.Fuzz(f, goldenDir, goldenFile, forms()...) }
