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
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int) time.Duration {
		value := 0
		if controlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); controlErr != nil || err != nil {
			t.Fatal(controlErr, err)
		}
		return time.Duration(value)
	}
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
