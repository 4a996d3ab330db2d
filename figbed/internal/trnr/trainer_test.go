package trnr_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/trnr"
	"github.com/figshift/figshift/internal/wire"
)

func newLot(number, version uint64, ids ...string) wire.Lot {
	l := wire.Lot{Lot: number, Attempt: 1, Newest: 3, Count: len(ids)}
	for _, id := range ids {
		l.Samples = append(l.Samples, wire.Sample{ID: id, Versions: []uint64{version}})
	}
	data, _ := json.Marshal(l.Samples)
	l.Checksum = trnr.Checksum(data)
	return l
}

func TestTrainerReportsInvalidLots(t *testing.T) {
	wrongChecksum := newLot(2, 3, "c")
	wrongChecksum.Checksum = "0"
	wrongCount := newLot(2, 3, "c")
	wrongCount.Count = 2
	cases := map[string]struct {
		second   wire.Lot
		problems int
	}{
		"Valid":     {newLot(2, 3, "c"), 0},
		"Twice":     {newLot(2, 3, "a"), 1},
		"Stale":     {newLot(2, 1, "c"), 1},
		"NoVersion": {newLot(2, 0, "c"), 1},
		"WrongLot":  {newLot(1, 3, "c"), 1},
		"Checksum":  {wrongChecksum, 1},
		"Count":     {wrongCount, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			lots := []wire.Lot{newLot(1, 3, "a", "b"), test.second}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var request wire.LotAsk
				_ = json.NewDecoder(r.Body).Decode(&request)
				_ = json.NewEncoder(w).Encode(lots[request.Cursor])
			}))
			defer server.Close()
			trainer := &trnr.Trainer{Daemons: []string{server.URL}, Rollout: "r", Lots: 2, MaxStaleness: 1, FirstVersion: 3}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			summary, err := trainer.Run(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.problems, len(summary.Problems)); diff != "" {
				t.Errorf("problems (-want +got):\n%s%v", diff, summary.Problems)
			}
		})
	}
}
