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
	retireWait  = 10 * time.Second // of one watch
	retireRetry = time.Second
	retireCall  = 2 * time.Second
)

// retirement lets a host with a disk be taken away when the operator asks for it. Nothing lasts there, so that there
// is nothing to move.
type retirement struct {
	store *platform.Store
	host  string
	log   *zap.Logger

	revision uint64 // up to which requests are known, 0 before the first list
	done     bool
}

func (r *retirement) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.look(ctx); err != nil {
			r.log.Warn("RetirementsUnknown", zap.Error(err))
			r.revision = 0
			if retry.Pause(ctx, retireRetry) != nil {
				return nil
			}
		}
	}
	return nil
}

// look lists or watches the requests and completes the own one.
func (r *retirement) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, retireWait+retireCall)
	defer cancel()
	var found wire.ObjectList
	var err error
	if r.revision == 0 {
		found, err = r.store.List(ctx, platform.PrefixRetirements)
	} else {
		found, err = r.store.Watch(ctx, platform.PrefixRetirements, r.revision, retireWait)
	}
	if err != nil {
		return err
	}
	for _, o := range found.Objects {
		if o.Name == platform.PrefixRetirements+r.host && !o.Deleted && !r.done {
			if err := r.complete(ctx, o.Name); err != nil {
				return err
			}
		}
	}
	r.revision = found.Revision
	return nil
}

func (r *retirement) complete(ctx context.Context, name string) error {
	for _, state := range []string{platform.RetirementRunning, platform.RetirementCompleted} {
		if err := r.store.PutStatus(ctx, name, platform.Retirement{State: state}); err != nil {
			return err
		}
		r.log.Info("Retirement", zap.String("State", state))
	}
	r.done = true
	return nil
}
