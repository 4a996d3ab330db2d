package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/figshift/figshift/internal/apply"
	"github.com/figshift/figshift/internal/config"
)

func checkConfigCommand(o output) *command {
	var files configFlags
	return &command{
		output:   o,
		name:     "check",
		synopsis: "check the files and print every problem with its file and line",
		example:  "figctl config check --config base.ini --overlay site.ini",
		flags:    files.declareFlags,
		run: func(context.Context, []string) error {
			if _, err := files.load(); err != nil {
				return err
			}
			o.printf("valid\n")
			return nil
		},
	}
}

func renderConfigCommand(o output) *command {
	var files configFlags
	return &command{
		output:   o,
		name:     "render",
		synopsis: "print the merged configuration and where each value came from",
		example:  "figctl config render --config base.ini --overlay site.ini",
		flags:    files.declareFlags,
		run: func(context.Context, []string) error {
			loaded, err := files.load()
			if err != nil {
				return err
			}
			o.printf("%s", loaded.Render())
			return nil
		},
	}
}

func applyConfigCommand(o output) *command {
	var files configFlags
	var change changeFlags
	var after uint64
	return &command{
		output:   o,
		name:     "apply",
		synopsis: "store the configuration as the successor of a revision, and wait until it is in force on a majority of the hosts",
		example: "figctl config apply --config base.ini --overlay site.ini --after 4 --platform http://10.0.0.9:9000" +
			" --operators 10.0.0.1:8081 --credential-file credential",
		flags: func(f *flag.FlagSet) {
			files.declareFlags(f)
			change.declareFlags(f)
			f.Uint64Var(&after, "after", 0, "`revision` that the files are based on, as printed by config show; 0 for the first")
		},
		run: func(ctx context.Context, _ []string) error {
			loaded, err := files.load()
			if err != nil {
				return err
			}
			store, err := change.checkFlags()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, change.wait)
			defer cancel()
			revision, err := apply.WriteSite(ctx, store, *loaded.Site, after, apply.NewWriterName())
			if err != nil {
				return err
			}
			o.printf("stored: revision %d\n", revision)
			return change.awaitMajority(ctx, o, apply.ConfigRevision, revision, fmt.Sprintf("revision %d", revision))
		},
	}
}

func showConfigCommand(o output) *command {
	var change changeFlags
	return &command{
		output:   o,
		name:     "show",
		synopsis: "print the stored configuration and its revision",
		example:  "figctl config show --platform http://10.0.0.9:9000",
		flags:    change.declareStoreFlags,
		run: func(ctx context.Context, _ []string) error {
			store, err := change.storeClient()
			if err != nil {
				return err
			}
			site, _, err := apply.ReadSite(ctx, store)
			if err != nil {
				return err
			}
			if site == nil {
				o.printf("; revision 0, nothing is stored\n")
				return nil
			}
			o.printf("; revision %d\n%s", site.Revision, config.RenderSite(site))
			return nil
		},
	}
}
