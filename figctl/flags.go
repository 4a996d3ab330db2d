package main

import (
	"flag"
	"net/http"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/admin"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/kinds"
)

// configFlags are the flags that name the configuration files.
type configFlags struct{ basePath, overlayPath string }

func (c *configFlags) declareFlags(f *flag.FlagSet) {
	f.StringVar(&c.basePath, "config", "", "base configuration `file`")
	f.StringVar(&c.overlayPath, "overlay", "", "overlay `file`; its values override those of --config")
}

func (c *configFlags) load() (*config.Loaded, error) {
	if c.basePath == "" {
		return nil, kinds.New(kinds.BadRequest, "--config is required")
	}
	loaded, problems := config.Load(c.basePath, c.overlayPath)
	if len(problems) > 0 {
		return nil, kinds.New(kinds.ConfigInvalid, "%d problems\n%v", len(problems), problems)
	}
	return loaded, nil
}

// operatorFlags are the flags that give access to the operators' listeners of the daemons.
type operatorFlags struct {
	addresses      string
	credentialFile string
}

func (o *operatorFlags) declareFlags(f *flag.FlagSet) {
	f.StringVar(&o.addresses, "operators", "", "`host:port,...` of the operators' listeners; one is enough")
	f.StringVar(&o.credentialFile, "credential-file", "", "`file` with the operators' credential")
}

func (o *operatorFlags) adminClient() (*admin.Client, error) {
	if o.addresses == "" || o.credentialFile == "" {
		return nil, kinds.New(kinds.BadRequest, "--operators and --credential-file are required")
	}
	credential, err := admin.ReadCredential(o.credentialFile)
	if err != nil {
		return nil, err
	}
	return &admin.Client{Addresses: strings.Split(o.addresses, ","), Credential: credential, HTTP: newHTTPClient()}, nil
}

// callTimeout is the timeout of each HTTP call of a command.
const callTimeout = 5 * time.Second

func newHTTPClient() *http.Client { return conns.Client(callTimeout) }
