package servc

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/figshift/figshift/internal/wire"
)

// Scorer is a simulated service that scores samples. A score depends only on the hash of the sample's text.
type Scorer struct{}

// ServeHTTP handles a wire.ScoreAsk on any path. It may be called concurrently.
func (Scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var ask wire.ScoreAsk
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var reply wire.ScoreReply
	for _, item := range ask.Samples {
		reply.Scores = append(reply.Scores, Score(item.Text))
	}
	writeJSON(w, reply)
}

// Score returns the score of a text, at least 0 and below 1. It may be called concurrently.
func Score(text string) float64 {
	const buckets = 1000
	return float64(xxhash.Sum64String(text)%buckets) / buckets
}
