package servc

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// ScoreAsk is the body of a call to a scorer.
type ScoreAsk struct {
	Prompt string
	Text   string
}

// ScoreReply is a scorer's answer; Score is between 0 and 1.
type ScoreReply struct{ Score float64 }

// Scorer is the stand-in of a service that scores samples by the hash of their text.
type Scorer struct{}

// ServeHTTP answers one ScoreAsk on any path. It may be called concurrently.
func (Scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var ask ScoreAsk
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer(w, ScoreReply{Score: Score(ask.Text)})
}

// Score returns the score of a text, between 0 and 1. It may be called concurrently.
func Score(text string) float64 {
	const steps = 1000
	return float64(xxhash.Sum64String(text)%steps) / steps
}
