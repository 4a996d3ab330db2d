package usage

import (
	"testing"

	"github.com/figshift/figshift/internal/golden"
	"github.com/figshift/figshift/internal/wire"
)

const (
	goldenDir  = "../golden/testdata"
	goldenFile = "usage"
)

func forms() []golden.Form {
	ledger := golden.Form{
		Name: "ledger of Usage", New: func() any { return new(Ledger) },
		Encode: func(v any) ([]byte, error) { return v.(*Ledger).Encode() },
		Decode: func(sample []byte, v any) error {
			l, err := Decode(sample)
			if err == nil {
				*v.(*Ledger) = *l
			}
			return err
		},
	}
	delta := golden.Form{Name: "delta of usage", New: func() any { return new(wire.UsageDelta) }, Encode: encode, Decode: decode}
	return []golden.Form{ledger.Packed(), delta.Packed()}
}

// Guards against counts that a holder of another build can't add up, since their fields have no names.
func TestFormsOfReleases(t *testing.T) {
	golden.Check(t, goldenDir, goldenFile, map[string]string{"call": callDelta}, forms()...)
}

func FuzzForms(f *testing.F) { golden.Fuzz(f, goldenDir, goldenFile, forms()...) }
