package retry

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and returns ctx's error in that case. It may be called concurrently.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
