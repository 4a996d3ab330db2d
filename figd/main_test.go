package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestStartRefuses(t *testing.T) {
	file := filepath.Join(t.TempDir(), "base.ini")
	if err := os.WriteFile(file, []byte("[Host]\nHost = h1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		args []string
		code int
		want string
	}{
		"no files":       {code: exitUsage, want: "usage: figd"},
		"unknown flag":   {args: []string{"--conf", file}, code: exitUsage, want: "not defined"},
		"extra argument": {args: []string{"--config", file, "go"}, code: exitUsage, want: "usage: figd"},
		"incomplete":     {args: []string{"--config", file, "--check"}, code: exitConfig, want: "[Host] Zone"},
		"no such file":   {args: []string{"--config", file + "x"}, code: exitConfig, want: "no such file"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var stderr bytes.Buffer
			if code := runCommand(c.args, &bytes.Buffer{}, &stderr); code != c.code {
				t.Errorf("runCommand() = %d, want %d", code, c.code)
			}
			if !strings.Contains(stderr.String(), c.want) {
				t.Errorf("no %q in stderr %q", c.want, stderr.String())
			}
		})
	}
}
