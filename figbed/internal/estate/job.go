package estate

import (
	"encoding/json"
	"fmt"
)

// ItemsPerGroup is the number of items in each group of a JobBody.
const ItemsPerGroup = 2

// JobBody returns the JSON body that submits a batch job with the given number of groups. Each group has ItemsPerGroup
// items, and each item has a scoring call for its generated text. Item i has the id ID-i, its scoring call score-ID-i.
func JobBody(id string, groups, minVersion int) []byte {
	job := map[string]any{"step": 1, "model": Model, "min_version": minVersion, "target_groups": groups}
	var items []any
	for i := range ItemsPerGroup * groups {
		itemID := fmt.Sprintf("%s-%d", id, i)
		items = append(items, map[string]any{
			"id": itemID, "path": Rollouts + "x/" + itemID, "headers": map[string]string{"Figshift-Model": Model},
			"body": []byte("body of " + itemID), "tokens": 10, "group": fmt.Sprintf("%s-g%d", id, i/ItemsPerGroup),
			"scorer_url": map[string]any{"id": "score-" + itemID, "host": Host, "path": Scores + itemID, "body": []byte("s")},
		})
	}
	job["items"] = items
	body, err := json.Marshal(job)
	if err != nil {
		panic(err) // unreachable: all values above can be encoded
	}
	return body
}
