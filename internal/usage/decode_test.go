package usage

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/wire"
)

// Guards against a holder that refuses the counts, or can't read the ledger, of a build with more or fewer fields.
func TestFieldsOfOtherBuilds(t *testing.T) {
	type laterFigure struct {
		Organisation                   string
		Requests, Prompt, Cached, Made uint64
		Late                           uint64
		Images                         map[string]uint64
	}
	type laterDelta struct {
		Host, Incarnation string
		Seq, Window       uint64
		Figures           []laterFigure
		Zones             []string
	}
	figures := []laterFigure{{"a", 1, 2, 3, 4, 5, map[string]uint64{"x": 1}}, {"b", 6, 7, 8, 9, 10, nil}}
	read := []wire.UsageFigure{{Organisation: "a", Requests: 1, PromptTokens: 2, CachedTokens: 3, GeneratedTokens: 4, LateTokens: 5}, {Organisation: "b", Requests: 6, PromptTokens: 7, CachedTokens: 8, GeneratedTokens: 9, LateTokens: 10}}
	cases := map[string]struct {
		written any
		want    wire.UsageDelta
	}{
		"more fields":  {laterDelta{"h", "i", 1, 2, figures, []string{"z"}}, wire.UsageDelta{Host: "h", Incarnation: "i", Seq: 1, Window: 2, Figures: read}},
		"fewer fields": {struct{ Host, Incarnation string }{"h", "i"}, wire.UsageDelta{Host: "h", Incarnation: "i"}},
		"no figures":   {wire.UsageDelta{Host: "h"}, wire.UsageDelta{Host: "h"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			encoded, err := encode(c.written)
			if err != nil {
				t.Fatal(err)
			}
			var got wire.UsageDelta
			if err := decode(encoded, &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("decoded (-want +got):\n%s", diff)
			}
		})
	}
}
