// Package conns configures TCP connections so that they fail soon after the peer stops responding.
package conns

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is the time without traffic after which TCP keep-alive probes are sent.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between two probes, in whole seconds as the kernel takes it, and keepAliveCount the number
	// of unanswered ones after which a connection fails. With a TCP_USER_TIMEOUT the kernel ignores that number: a connection
	// fails at the first probe later than userTimeout after the last word.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is the time for which written bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout = 2500 * time.Millisecond
)

// MaxHeaderBytes is the maximum size of a response's head; an endpoint in trouble may send one without end.
const MaxHeaderBytes = 32 << 10

// Dialer returns a dialer whose connections fail within seconds after the peer stops responding.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
}

// DialerFrom returns a Dialer whose connections come from an IP, nil for any.
func DialerFrom(ip net.IP, timeout time.Duration) *net.Dialer {
	dialer := Dialer(timeout)
	if ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer
}

// BriefDialer returns a DialerFrom whose connections have no keep-alive probes, for requests that end before probes would tell
// anything. An end by probes may leave bytes under way that arrive once the link is back, long after the request was given up.
func BriefDialer(ip net.IP, timeout time.Duration) *net.Dialer {
	dialer := DialerFrom(ip, timeout)
	dialer.KeepAlive, dialer.KeepAliveConfig = -1, net.KeepAliveConfig{}
	return dialer
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// IsDialError reports whether err is a dial error: no connection was made and nothing was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// IdentifyingTransport returns a Transport that uses dialer and whose connections are Identified, unless identity is nil.
func IdentifyingTransport(dialer *net.Dialer, identity *Identity, idlePerHost int, idleTimeout time.Duration) *Checked {
	dial := dialer.DialContext
	if identity != nil {
		dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			return identity.Dial(ctx, func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, network, address) })
		}
	}
	return Check(&http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     4 << 10,

		MaxResponseHeaderBytes: MaxHeaderBytes,
	})
}

// Transport returns an HTTP transport that uses Dialer. It neither requests compressed responses nor decompresses them.
func Transport(dialTimeout time.Duration, idlePerHost int, idleTimeout time.Duration) *Checked {
	return IdentifyingTransport(Dialer(dialTimeout), nil, idlePerHost, idleTimeout)
}
