package main

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/wire"
	"github.com/figshift/figshift/platform"
)

const (
	retirementWatchTime  = 10 * time.Second // longest wait of one watch
	retirementRetryDelay = time.Second
	retirementCallTime   = 2 * time.Second // allowed for a call beyond retirementWatchTime
)

// retirementWatcher completes the operator's request to retire this host, one with a disk. The host holds no lasting
// data, so there is nothing to move.
type retirementWatcher struct {
	store *platform.Store
	host  string
	log   *zap.Logger

	revision  uint64 // store revision up to which requests are known, 0 before the first list
	completed bool
}

func (r *retirementWatcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.poll(ctx); err != nil {
			r.log.Warn("RetirementsUnknown", zap.Error(err))
			r.revision = 0
			if retry.Sleep(ctx, retirementRetryDelay) != nil {
				return nil
			}
		}
	}
	return nil
}

// poll lists or watches the requests and completes the one for this host.
func (r *retirementWatcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, retirementWatchTime+retirementCallTime)
	defer cancel()
	var found wire.ObjectList
	var err error
	if r.revision == 0 {
		found, err = r.store.List(ctx, platform.PrefixRetirements)
	} else {
		found, err = r.store.Watch(ctx, platform.PrefixRetirements, r.revision, retirementWatchTime)
	}
	if err != nil {
		return err
	}
	for _, o := range found.Objects {
		if o.Name == platform.PrefixRetirements+r.host && !o.Deleted && !r.completed {
			if err := r.complete(ctx, o.Name); err != nil {
				return err
			}
		}
	}
	r.revision = found.Revision
	return nil
}

func (r *retirementWatcher) complete(ctx context.Context, name string) error {
	for _, state := range []string{platform.RetirementRunning, platform.RetirementCompleted} {
		if err := r.store.PutStatus(ctx, name, platform.Retirement{State: state}); err != nil {
			return err
		}
		r.log.Info("Retirement", zap.String("State", state))
	}
	r.completed = true
	return nil
}
