package estate

import (
	"encoding/json"
	"fmt"
)

// GroupItems is the number of items in a group of a Submission.
const GroupItems = 2

// Submission returns the body of a batch job of groups of two items, each with a call that scores its text. Item i is called
// ID-i, and its score's call score-ID-i.
func Submission(id string, groups, least int) []byte {
	job := map[string]any{"step": 1, "model": Model, "min_version": least, "target_groups": groups}
	var items []any
	for i := range GroupItems * groups {
		name := fmt.Sprintf("%s-%d", id, i)
		items = append(items, map[string]any{
			"id": name, "path": Rollouts + "x/" + name, "headers": map[string]string{"Figshift-Model": Model},
			"body": []byte("body of " + name), "tokens": 10, "group": fmt.Sprintf("%s-g%d", id, i/GroupItems),
			"scorer_url": map[string]any{"id": "score-" + name, "host": Host, "path": Scores + name, "body": []byte("s")},
		})
	}
	job["items"] = items
	text, err := json.Marshal(job)
	if err != nil {
		panic(err) // a test's own value
	}
	return text
}
