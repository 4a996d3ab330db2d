package items

import (
	"testing"

	"github.com/figshift/figshift/internal/golden"
)

const (
	goldenDir  = "../golden/testdata"
	goldenFile = "items"
)

func forms() []golden.Form {
	return []golden.Form{golden.Msgpack[[]jobCopy]("/copies"), golden.Msgpack[[]textCopy]("Texts/"), golden.Msgpack[forwardedSubmission]("/submit")}
}

// Guards against copies, stored texts and submissions that another build can't read.
func TestFormsOfReleases(t *testing.T) {
	golden.Check(t, goldenDir, goldenFile, map[string]string{"header of an ended job": headerEnded}, forms()...)
}

func FuzzForms(f *testing.F) { golden.Fuzz(f, goldenDir, goldenFile, forms()...) }
