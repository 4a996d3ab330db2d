// Package proc is the harness of the process tests: it builds the programs once for each test binary, starts
// daemons and stand-ins behind a fault-injecting proxy, and ends them with the test.
//
// A package of process tests calls Main from its TestMain. A test starts a Cluster:
//
//	func TestMain(m *testing.M) {
//		proc.NewProxy = toxic.New
//		proc.Main(m)
//	}
//
//	func TestPlainCall(t *testing.T) {
//		c := &proc.Cluster{Daemons: 2, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
//		c.Start(t)
//		answer := c.Hosts[0].Post("/lookup?Id=1", c.Key("North"), "body")
//		...
//		c.Hosts[0].Store.Cut()             // between this daemon and the platform
//		c.Hosts[0].Signal(syscall.SIGSTOP) // freezes the daemon
//		proc.WaitUntil(t, 5*time.Second, "unready", func() bool { return !c.Hosts[0].Ready() })
//	}
//
// Default organisations are North and South, each with one key; default routes are /v1/generate (model default),
// /lookup (idempotent), /write (not idempotent) and /open (no key) on service lookup. Cluster.Site changes them.
package proc
