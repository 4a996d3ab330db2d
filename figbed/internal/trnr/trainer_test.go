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

func lot(number, version uint64, ids ...string) wire.Lot {
	l := wire.Lot{Lot: number, Attempt: 1, Newest: 3, Count: len(ids)}
	for _, id := range ids {
		l.Samples = append(l.Samples, wire.Sample{ID: id, Versions: []uint64{version}})
	}
	data, _ := json.Marshal(l.Samples)
	l.Checksum = trnr.Checksum(data)
	return l
}

func TestTrainerFindsWhatIsUntrue(t *testing.T) {
	spoilt := lot(2, 3, "c")
	spoilt.Checksum = "0"
	short := lot(2, 3, "c")
	short.Count = 2
	cases := map[string]struct {
		second   wire.Lot
		problems int
	}{
		"True":      {lot(2, 3, "c"), 0},
		"Twice":     {lot(2, 3, "a"), 1},
		"Stale":     {lot(2, 1, "c"), 1},
		"NoVersion": {lot(2, 0, "c"), 1},
		"WrongLot":  {lot(1, 3, "c"), 1},
		"Checksum":  {spoilt, 1},
		"Count":     {short, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			lots := []wire.Lot{lot(1, 3, "a", "b"), test.second}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var ask wire.LotAsk
				_ = json.NewDecoder(r.Body).Decode(&ask)
				_ = json.NewEncoder(w).Encode(lots[ask.Cursor])
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
