package proc

import (
	"os"
	"strings"
)

// ReplaceInFile replaces each occurrence of a text in a file. The test fails when the file can't be read or written.
func ReplaceInFile(t T, file, oldText, newText string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(strings.ReplaceAll(string(text), oldText, newText)), 0o600); err != nil {
		t.Fatal(err)
	}
}
