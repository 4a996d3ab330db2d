// Package conns makes connections that notice when the other side is gone.
package conns

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// probeIdle is the time without traffic after which a connection is probed.
	probeIdle = time.Second
	// probeEvery and probeCount bound the time in which a silent connection is given up, beside probeIdle.
	probeEvery = 500 * time.Millisecond
	probeCount = 3
	// unackedFor is the time for which written bytes may stay without an acknowledgement.
	unackedFor = 2500 * time.Millisecond
)

// Dialer returns a dialer whose connections fail within seconds once the other side is silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control:         limitUnacked,
	}
}

func limitUnacked(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedFor.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Unsent reports whether an error says that no connection was made, so that nothing was sent.
func Unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Transport returns an HTTP transport on such connections. Its answers are as they come, uncompressed.
func Transport(dialTimeout time.Duration, idlePerHost int, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         Dialer(dialTimeout).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     4 << 10,
	}
}
