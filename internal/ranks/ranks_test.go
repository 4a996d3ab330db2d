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
	fmt.Println(len(ranks.Top("zone a", names, 2)), ranks.Of("zone a", names, "absent"))
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
		t.Errorf("order of those that stay (-want +got):\n%s", diff)
	}
}
