package apply

import (
	"context"
	"encoding/json"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// SiteObject is the name of the object that holds the configuration in force.
const SiteObject = "Config/Site"

// ReadSite returns the stored configuration, nil when there is none yet, and the object's version.
// It may be called concurrently.
func ReadSite(ctx context.Context, store Store) (*config.Site, uint64, error) {
	object, err := store.Get(ctx, SiteObject)
	if kinds.From(err) == kinds.NotFound {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	site := &config.Site{}
	if err := json.Unmarshal(object.Value, site); err != nil {
		return nil, 0, kinds.New(kinds.ConfigInvalid, "%s: %v", SiteObject, err)
	}
	return site, object.Version, nil
}

// WriteSite stores a configuration as the successor of the revision after, 0 for the first one, and returns its
// revision. It fails with kind Conflict when another revision is stored, so that no operator's change is covered
// unread, and with the kinds of Write. It may be called concurrently.
func WriteSite(ctx context.Context, store Store, site config.Site, after uint64, writer string) (uint64, error) {
	if problems := site.Problems(); len(problems) > 0 {
		return 0, kinds.New(kinds.ConfigInvalid, "%v", problems)
	}
	stored, version, err := ReadSite(ctx, store)
	if err != nil {
		return 0, err
	}
	if now := revision(stored); now != after {
		return 0, kinds.New(kinds.Conflict, "revision %d is stored, and the change was made after revision %d", now, after)
	}
	if stored != nil && stored.Usage.Window != site.Usage.Window {
		return 0, kinds.New(kinds.ConfigInvalid, "[Usage] Window is %s for good, since windows are numbered by it", stored.Usage.Window)
	}
	site.Revision = after + 1
	value, err := json.Marshal(site)
	if err != nil {
		return 0, kinds.New(kinds.Internal, "%v", err)
	}
	put := wire.ObjectPut{Name: SiteObject, Version: version, Writer: writer, Value: value}
	if _, err := Write(ctx, store, put); err != nil {
		return 0, err
	}
	return site.Revision, nil
}

func revision(site *config.Site) uint64 {
	if site == nil {
		return 0
	}
	return site.Revision
}
