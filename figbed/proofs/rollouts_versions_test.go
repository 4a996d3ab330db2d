package proofs

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figshift/figshift/figbed/internal/drill"
	"github.com/figshift/figshift/figbed/internal/engin"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/wire"
)

// madeBy returns what the engines made, by the seed of the sample.
func madeBy(t *testing.T, c *proc.Cluster, engines ...string) map[int64][]engin.Made {
	t.Helper()
	all := map[int64][]engin.Made{}
	for _, name := range engines {
		resp, err := http.Get(c.Endpoints[name].URL() + engin.PathTruth)
		if err != nil {
			t.Fatal(err)
		}
		var made []engin.Made
		err = json.NewDecoder(resp.Body).Decode(&made)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range made {
			all[m.Seed] = append(all[m.Seed], m)
		}
	}
	return all
}

// isTrue reports whether the attempts of one request, in some order, made exactly the versions that a sample names.
func isTrue(s wire.Sample, made []engin.Made) bool {
	byRequest := map[string][][]uint64{}
	for _, m := range made {
		byRequest[m.Request] = append(byRequest[m.Request], m.Versions)
	}
	for _, runs := range byRequest {
		if joins(s.Versions, nil, runs) {
			return true
		}
	}
	return false
}

// joins reports whether the runs that are left can follow head so that together they are want.
func joins(want, head []uint64, left [][]uint64) bool {
	if len(left) == 0 {
		return slices.Equal(want, head)
	}
	for i, run := range left {
		rest := slices.Delete(slices.Clone(left), i, i+1)
		if joins(want, slices.Compact(append(slices.Clone(head), run...)), rest) {
			return true
		}
	}
	return false
}

// checkVersions fails for each sample whose versions are not those that made it, and returns how many name more than one.
func checkVersions(t *testing.T, c *proc.Cluster, taken []wire.Lot) int {
	t.Helper()
	made := madeBy(t, c, "e1", "e2")
	mixed := 0
	for _, lot := range taken {
		for _, s := range lot.Samples {
			if len(s.Versions) > 1 {
				mixed++
			}
			of := made[int64(xxhash.Sum64String(s.ID)>>1)]
			if !isTrue(s, of) {
				t.Errorf("sample %s names versions %v, its engines made it by %+v", s.ID, s.Versions, of)
			}
		}
	}
	return mixed
}

// TestVersionsOfASwapInMidStream publishes while samples run on both engines.
func TestVersionsOfASwapInMidStream(t *testing.T) {
	t.Parallel()
	c := drill.RunRollout(t, 2, drill.Spec(), "--request-rate", "20")
	urls := drill.URLs(c)
	var taken []wire.Lot
	for n := range uint64(4) {
		taken = append(taken, drill.TakeLot(t, c, urls, n))
		drill.PublishVersion(t, c, urls, n+2)
	}
	if mixed := checkVersions(t, c, taken); mixed == 0 {
		t.Error("no sample was running during a swap")
	}
}

// TestVersionsOfAFailedSwap has one engine acknowledge orders and not carry them out.
func TestVersionsOfAFailedSwap(t *testing.T) {
	t.Parallel()
	c := drill.RunRollout(t, 2, drill.Spec(), "--request-rate", "100")
	urls := drill.URLs(c)
	const failures = 2
	c.Endpoints["e1"].Faults(engin.Faults{SwapFails: failures})
	var taken []wire.Lot
	for n := range uint64(3) {
		taken = append(taken, drill.TakeLot(t, c, urls, n))
		drill.PublishVersion(t, c, urls, n+2)
	}
	for _, name := range []string{"e1", "e2"} {
		proc.WaitUntil(t, swapBound, name+" has the newest version", func() bool { return c.Endpoints[name].State().Version == 4 })
	}
	taken = append(taken, drill.TakeLot(t, c, urls, 3))
	checkVersions(t, c, taken)
}

// swapBound is the stated time for a version to reach all engines.
const swapBound = 7 * time.Second

// TestVersionsOfAResume cuts streams on an engine whose swaps fail, so that they go on at another version.
func TestVersionsOfAResume(t *testing.T) {
	t.Parallel()
	c := drill.RunRollout(t, 2, drill.Spec(), "--request-rate", "100")
	urls := drill.URLs(c)
	taken := []wire.Lot{drill.TakeLot(t, c, urls, 0)}
	c.Endpoints["e1"].Faults(engin.Faults{SwapFails: 1000, Cut: 1000, CutSegments: 2})
	drill.PublishVersion(t, c, urls, 2)
	for n := uint64(1); n < 4; n++ {
		taken = append(taken, drill.TakeLot(t, c, urls, n))
	}
	if mixed := checkVersions(t, c, taken); mixed == 0 {
		t.Error("no sample was resumed at another version")
	}
}
