// Command train fetches the lots of a rollout and publishes a version after each.
//
//	go run ./examples/train -address http://127.0.0.1:8080 -key KEY -rollout drafts -lots 3
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/figshift/figshift"
)

func main() {
	address := flag.String("address", "http://127.0.0.1:8080", "base `URL` of an entry host")
	key := flag.String("key", "", "organisation `key`")
	rollout := flag.String("rollout", "", "`name` of the rollout")
	count := flag.Uint64("lots", 3, "number of lots to fetch")
	flag.Parse()
	lots := &figshift.Lots{
		Client:   &figshift.Client{Address: *address, Key: *key},
		Rollout:  *rollout,
		Consumer: "example",
	}
	if err := train(context.Background(), lots, *count); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func train(ctx context.Context, lots *figshift.Lots, count uint64) error {
	for lots.Cursor < count {
		lot, err := nextLot(ctx, lots)
		if err != nil {
			return err
		}
		lots.Keep(lot)
		fmt.Printf("lot %d: %d samples, newest version %d\n", lot.Lot, lot.Count, lot.Newest)
		if err := lots.Publish(ctx, lot.Newest+1); err != nil {
			return err
		}
	}
	return lots.Release(ctx)
}

// nextLot requests the next lot until it is ready, waiting between requests as long as the service asks.
func nextLot(ctx context.Context, lots *figshift.Lots) (figshift.Lot, error) {
	for {
		lot, err := lots.Next(ctx)
		var refusal *figshift.Error
		if !errors.As(err, &refusal) || refusal.RetryAfter == 0 {
			return lot, err
		}
		time.Sleep(refusal.RetryAfter)
	}
}
