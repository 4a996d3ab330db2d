// Package proc is the harness for tests that run the programs as processes. It builds the programs once for each test
// binary, starts daemons, the simulated platform and endpoints behind fault-injecting proxies, and stops them at the end
// of the test.
//
// A package with such tests calls Main from its TestMain. A test starts a Cluster:
//
//	func TestMain(m *testing.M) {
//		proc.NewProxy = toxic.New
//		proc.Main(m)
//	}
//
//	func TestPlainCall(t *testing.T) {
//		c := &proc.Cluster{Daemons: 2, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
//		c.Start(t)
//		response := c.Hosts[0].Post("/lookup?Id=1", c.Key("North"), "body")
//		...
//		c.Hosts[0].PlatformLink.Cut()      // disconnects this daemon from the platform
//		c.Hosts[0].Signal(syscall.SIGSTOP) // suspends the daemon
//		proc.WaitUntil(t, 5*time.Second, "unready", func() bool { return !c.Hosts[0].Ready() })
//	}
//
// The default organisations are North and South, each with one key. The default routes are /v1/generate (model default)
// and, on the service lookup, /lookup (idempotent), /write (not idempotent) and /open (no key). Cluster.Site changes them.
package proc
