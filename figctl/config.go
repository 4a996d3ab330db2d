package main

import "context"

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
