package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/figshift/figshift/internal/apply"
	"github.com/figshift/figshift/internal/config"
)

func checkConfig(o output) *command {
	var s files
	return &command{
		output:   o,
		name:     "check",
		synopsis: "check the files and print every problem with its file and line",
		example:  "figctl config check --config base.ini --overlay site.ini",
		flags:    s.declare,
		run: func(context.Context, []string) error {
			if _, err := s.load(); err != nil {
				return err
			}
			o.printf("valid\n")
			return nil
		},
	}
}

func renderConfig(o output) *command {
	var s files
	return &command{
		output:   o,
		name:     "render",
		synopsis: "print the merged configuration and where each value came from",
		example:  "figctl config render --config base.ini --overlay site.ini",
		flags:    s.declare,
		run: func(context.Context, []string) error {
			loaded, err := s.load()
			if err != nil {
				return err
			}
			o.printf("%s", loaded.Render())
			return nil
		},
	}
}

func applyConfig(o output) *command {
	var s files
	var c change
	var after uint64
	return &command{
		output:   o,
		name:     "apply",
		synopsis: "store the configuration as the successor of a revision, and wait until a majority of the hosts has it",
		example: "figctl config apply --config base.ini --overlay site.ini --after 4 --platform http://10.0.0.9:9000" +
			" --operators 10.0.0.1:8081 --credential-file credential",
		flags: func(f *flag.FlagSet) {
			s.declare(f)
			c.declare(f)
			f.Uint64Var(&after, "after", 0, "`revision` that the files were made from, as config show tells; 0 for the first")
		},
		run: func(ctx context.Context, _ []string) error {
			loaded, err := s.load()
			if err != nil {
				return err
			}
			store, err := c.ready()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, c.wait)
			defer cancel()
			revision, err := apply.WriteSite(ctx, store, *loaded.Site, after, apply.NewWriter())
			if err != nil {
				return err
			}
			o.printf("stored: revision %d\n", revision)
			return c.acknowledged(ctx, o, apply.ConfigRevision, revision, fmt.Sprintf("revision %d", revision))
		},
	}
}

func showConfig(o output) *command {
	var c change
	return &command{
		output:   o,
		name:     "show",
		synopsis: "print the stored configuration and its revision",
		example:  "figctl config show --platform http://10.0.0.9:9000",
		flags:    c.declareStore,
		run: func(ctx context.Context, _ []string) error {
			store, err := c.store()
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
