package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"github.com/figshift/figshift/internal/admin"
	"github.com/figshift/figshift/internal/wire"
)

const credential = "0123456789abcdef"

func TestExitCodes(t *testing.T) {
	good := writeFile(t, "good.ini", "[Organisation library]\nWeight = 3\n")
	bad := writeFile(t, "bad.ini", "[Organisation library]\nWeight = 0\n[Lease]\nTTL = 4\n")
	secret := writeFile(t, "credential", credential)
	wrong := writeFile(t, "wrong", "fedcba9876543210")
	listener := startListener(t)
	cases := map[string]struct {
		args []string
		exit subcommands.ExitStatus
		out  string
		err  string
	}{
		"no arguments":           {exit: subcommands.ExitUsageError, err: "Subcommands"},
		"help":                   {args: []string{"help"}, out: "6  outcome unknown"},
		"help of a group":        {args: []string{"help", "key"}, out: "figctl key withdraw --hash"},
		"help of a command":      {args: []string{"config", "help", "apply"}, out: "figctl config apply --config base.ini"},
		"withdraw without a key": {args: []string{"key", "withdraw", "--platform", "http://127.0.0.1:1", "--operators", listener, "--credential-file", secret}, exit: exitInvalid, err: "either --hash or --key-file"},
		"store unavailable":      {args: []string{"key", "list", "--platform", "http://127.0.0.1:1"}, exit: subcommands.ExitFailure, err: "StoreUnavailable"},
		"unknown command":        {args: []string{"confg"}, exit: subcommands.ExitUsageError},
		"unknown flag":           {args: []string{"config", "check", "--conf", good}, exit: subcommands.ExitUsageError, err: "Example:"},
		"check":                  {args: []string{"config", "check", "--config", good}, out: "valid\n"},
		"check invalid":          {args: []string{"config", "check", "--config", bad}, exit: exitInvalid, err: "bad.ini:4: [Lease] TTL"},
		"check without a file":   {args: []string{"config", "check"}, exit: exitInvalid, err: "--config is required"},
		"render":                 {args: []string{"config", "render", "--config", good}, out: "Weight = 3 ; " + good + ":2\n"},
		"extra argument":         {args: []string{"config", "render", "--config", good, "x"}, exit: subcommands.ExitUsageError},
		"status":                 {args: []string{"status", "--operators", listener, "--credential-file", secret}, out: "Fleet.z1  h2      4\n"},
		"status: a mixed fleet":  {args: []string{"status", "--operators", listener, "--credential-file", secret}, out: "h1    z1    668a085748b4  true   0ms   0       0\nh2    z1    older         true"},
		"status as JSON":         {args: []string{"status", "--json", "--operators", listener, "--credential-file", secret}, out: `"Duty": "Fleet.z1"`},
		"one of two listeners":   {args: []string{"status", "--operators", "127.0.0.1:1," + listener, "--credential-file", secret}, out: "Fleet.z1"},
		"fleet":                  {args: []string{"fleet", "--operators", listener, "--credential-file", secret}, out: "e1        z1    Engine  Cheap  Live   7"},
		"no listener":            {args: []string{"fleet", "--operators", "127.0.0.1:1", "--credential-file", secret}, exit: subcommands.ExitFailure, err: "no listener answers"},
		"wrong credential":       {args: []string{"fleet", "--operators", listener, "--credential-file", wrong}, exit: subcommands.ExitFailure, err: "refuses the credential"},
		"no credential":          {args: []string{"fleet", "--operators", listener}, exit: exitInvalid, err: "--credential-file"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			if exit := run(context.Background(), c.args, &stdout, &stderr); exit != c.exit {
				t.Errorf("exit %d, want %d: %s", exit, c.exit, stderr.String())
			}
			if !strings.Contains(stdout.String(), c.out) {
				t.Errorf("no %q in:\n%s", c.out, stdout.String())
			}
			if !strings.Contains(stderr.String(), c.err) {
				t.Errorf("no %q in:\n%s", c.err, stderr.String())
			}
		})
	}
}

// startListener serves one fixed report on an operators' listener and returns its address.
func startListener(t *testing.T) string {
	t.Helper()
	status := wire.Status{
		Host:      "h1",
		Build:     "668a085748b4",
		Hosts:     []wire.HostStatus{{Host: "h1", Zone: "z1", Build: "668a085748b4", Alive: true}, {Host: "h2", Zone: "z1", Alive: true}},
		Duties:    []wire.DutyStatus{{Duty: "Fleet.z1", Holder: "h1", Epoch: 3}, {Duty: "Fleet.z1", Holder: "h2", Epoch: 4}},
		Endpoints: []wire.EndpointStatus{{Endpoint: "e1", Zone: "z1", Kind: wire.Engine, Price: wire.Cheap, State: wire.Live, Version: 7}},
	}
	server := &admin.Server{
		Credential: credential,
		Ready:      func() (bool, string) { return true, "" },
		Status:     func(context.Context) (wire.Status, error) { return status, nil },
		Metrics:    http.NotFoundHandler(),
	}
	s := httptest.NewServer(server.Handler())
	t.Cleanup(s.Close)
	return s.Listener.Addr().(*net.TCPAddr).String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
