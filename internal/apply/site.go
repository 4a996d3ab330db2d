package apply

import (
	"context"
	"encoding/json"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// SiteObjectName is the name of the object that stores the configuration in force.
const SiteObjectName = "Config/Site"

// ReadSite returns the stored configuration, or nil if there is none yet, and the version of the object. It may be
// called concurrently.
func ReadSite(ctx context.Context, store Store) (*config.Site, uint64, error) {
	object, err := store.Get(ctx, SiteObjectName)
	if kinds.KindOf(err) == kinds.NotFound {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	site := &config.Site{}
	if err := json.Unmarshal(object.Value, site); err != nil {
		return nil, 0, kinds.New(kinds.ConfigInvalid, "%s: %v", SiteObjectName, err)
	}
	return site, object.Version, nil
}

// WriteSite stores a configuration that is based on revision base, 0 for the first one, and returns its revision, which
// is base+1. It fails with kind Conflict if another revision than base is stored, so that no operator overwrites a
// change that they have not read, with ConfigInvalid if the configuration is not allowed, and with the kinds of Write.
// It may be called concurrently.
func WriteSite(ctx context.Context, store Store, site config.Site, base uint64, writer string) (uint64, error) {
	if problems := site.Problems(); len(problems) > 0 {
		return 0, kinds.New(kinds.ConfigInvalid, "%v", problems)
	}
	stored, version, err := ReadSite(ctx, store)
	if err != nil {
		return 0, err
	}
	if current := siteRevision(stored); current != base {
		return 0, kinds.New(kinds.Conflict, "the stored revision is %d, but the change is based on revision %d", current, base)
	}
	if stored != nil && stored.Usage.Window != site.Usage.Window {
		return 0, kinds.New(kinds.ConfigInvalid, "[Usage] Window must stay %s, since the numbers of all windows depend on it", stored.Usage.Window)
	}
	site.Revision = base + 1
	value, err := json.Marshal(site)
	if err != nil {
		return 0, kinds.New(kinds.Internal, "encoding the site: %v", err)
	}
	put := wire.ObjectPut{Name: SiteObjectName, Version: version, Writer: writer, Value: value}
	if _, err := Write(ctx, store, put); err != nil {
		return 0, err
	}
	return site.Revision, nil
}

func siteRevision(site *config.Site) uint64 {
	if site == nil {
		return 0
	}
	return site.Revision
}
