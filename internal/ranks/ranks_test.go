package ranks_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/ranks"
)

func ExampleTop() {
	names := []string{"h1", "h2", "h3", "h4"}
	fmt.Println(len(ranks.Top("zone a", names, 2)), ranks.Rank("zone a", names, "absent"))
	// Output: 2 -1
}

func TestOrderIsStable(t *testing.T) {
	var names []string
	for i := range 50 {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	before := ranks.Order("key", names)
	after := ranks.Order("key", slices.Delete(slices.Clone(names), 10, 20))
	want := slices.DeleteFunc(before, func(name string) bool { return !slices.Contains(after, name) })
	if diff := cmp.Diff(want, after); diff != "" {
		t.Errorf("order of the remaining names (-want +got):\n%s", diff)
	}
}

func TestForwardTargets(t *testing.T) {
	zones := map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
	hubs := []string{"a1", "b1"}
	cases := map[string]struct {
		self, from string
		want       []string
	}{
		"HubFromOwnZone":     {"a1", "a2", []string{"a3", "b1"}},
		"HubFromOtherZone":   {"a1", "b1", []string{"a2", "a3"}},
		"HubFromUnknownHost": {"a1", "x", []string{"a2", "a3"}},
		"NotAHub":            {"a2", "a1", nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, ranks.ForwardTargets(c.self, hubs, zones, c.from)); diff != "" {
				t.Errorf("hosts (-want +got):\n%s", diff)
			}
		})
	}
}
