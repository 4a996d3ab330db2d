package proc

import (
	"os"
	"strings"
)

// Replace replaces a text in a file; the test fails when the file can't be read or written.
func Replace(t T, file, from, to string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(strings.ReplaceAll(string(text), from, to)), 0o600); err != nil {
		t.Fatal(err)
	}
}
