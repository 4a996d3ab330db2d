package proc

// T is the part of testing.TB that the harness uses. Console implements it for use outside of tests, as in the demo.
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
