package conns

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"
)

// The kernel rounded the interval of keep-alive probes up to seconds, so that fewer fitted into the TCP_USER_TIMEOUT, which
// decides when they give up, than the constants told. A sound connection must outlive one lost probe.
func TestProbesFitIntoTheUserTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := Dialer(time.Second).Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	option := func(name int) time.Duration { return time.Duration(socketOption(t, conn, unix.IPPROTO_TCP, name)) }
	got := map[string]time.Duration{
		"idle": option(unix.TCP_KEEPIDLE) * time.Second, "interval": option(unix.TCP_KEEPINTVL) * time.Second, "user timeout": option(unix.TCP_USER_TIMEOUT) * time.Millisecond,
	}
	want := map[string]time.Duration{"idle": keepAliveIdle, "interval": keepAliveInterval, "user timeout": userTimeout}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("in force (-want +got):\n%s", diff)
	}
	if lost := 1 + int((got["user timeout"]-got["idle"]-1)/got["interval"]); lost < 2 {
		t.Errorf("a sound connection ends when %d probe is lost, want two at least", lost)
	}
}

// The end of a connection by its keep-alive probes left the request on it under way. Connections for brief requests must end by the
// user timeout alone, which drops what is not acknowledged.
func TestBriefConnectionsHaveNoProbes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	for name, c := range map[string]struct {
		dialer *net.Dialer
		probes int
	}{
		"brief": {BriefDialer(nil, time.Second), 0},
		"other": {Dialer(time.Second), 1},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := c.dialer.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			got := []int{socketOption(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE), socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)}
			if diff := cmp.Diff([]int{c.probes, int(userTimeout.Milliseconds())}, got); diff != "" {
				t.Errorf("probes and user timeout (-want +got):\n%s", diff)
			}
		})
	}
}

func socketOption(t *testing.T, conn net.Conn, level, name int) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	if controlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return value
}
