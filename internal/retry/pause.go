package retry

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends, and returns ctx's error in that case. It may be called concurrently.
func Pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
