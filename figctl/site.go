package main

import (
	"flag"
	"net/http"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/admin"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/kinds"
)

// files are the flags that name the configuration.
type files struct{ base, overlay string }

func (s *files) declare(f *flag.FlagSet) {
	f.StringVar(&s.base, "config", "", "base configuration `file`")
	f.StringVar(&s.overlay, "overlay", "", "overlay `file`, whose values win")
}

func (s *files) load() (*config.Loaded, error) {
	if s.base == "" {
		return nil, kinds.New(kinds.BadRequest, "give --config")
	}
	loaded, problems := config.Load(s.base, s.overlay)
	if len(problems) > 0 {
		return nil, kinds.New(kinds.ConfigInvalid, "%d problems\n%v", len(problems), problems)
	}
	return loaded, nil
}

// operators are the flags that reach the daemons.
type operators struct {
	addresses  string
	credential string
}

func (s *operators) declare(f *flag.FlagSet) {
	f.StringVar(&s.addresses, "operators", "", "operators' listeners, `host:port,...`; one is enough")
	f.StringVar(&s.credential, "credential-file", "", "`file` of the operators' credential")
}

func (s *operators) client() (*admin.Client, error) {
	if s.addresses == "" || s.credential == "" {
		return nil, kinds.New(kinds.BadRequest, "give --operators and --credential-file")
	}
	credential, err := admin.ReadCredential(s.credential)
	if err != nil {
		return nil, err
	}
	return &admin.Client{Addresses: strings.Split(s.addresses, ","), Credential: credential, HTTP: newHTTP()}, nil
}

// callTimeout bounds each call that a command makes.
const callTimeout = 5 * time.Second

func newHTTP() *http.Client { return &http.Client{Timeout: callTimeout} }
