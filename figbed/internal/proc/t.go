package proc

// T is the part of testing.TB that the harness uses, so that the demo can use it too.
type T interface {
	Helper()
	Cleanup(f func())
	TempDir() string
	Failed() bool
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
}
