package soak

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	holdTime         = 300 * time.Millisecond
	roundTripTimeout = 2 * time.Second
	linkDelay        = 200 * time.Millisecond
)

// startEchoServer starts a server that echoes each byte and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				b := make([]byte, 1)
				for {
					if _, err := c.Read(b); err != nil {
						return
					}
					if _, err := c.Write(b); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func dialFrom(t *testing.T, source, address string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// roundTrip sends a byte and waits for its echo.
func roundTrip(t *testing.T, c net.Conn, timeout time.Duration) error {
	t.Helper()
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

// An impairment delays or holds bytes only on connections from its source. Held bytes arrive when it ends.
func TestLinkImpairments(t *testing.T) {
	const impairedSource, otherSource = "127.0.1.11", "127.0.1.12"
	cases := map[string]struct {
		impairment Impairment
		held       bool
		minDelay   time.Duration
	}{
		"none":          {},
		"requests held": {impairment: Impairment{HoldRequests: true}, held: true},
		"answers held":  {impairment: Impairment{HoldResponses: true}, held: true},
		"delayed":       {impairment: Impairment{Delay: linkDelay}, minDelay: 2 * linkDelay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var active atomic.Bool
			p := &ImpairedProxy{Listen: "127.0.0.1:0", Upstream: startEchoServer(t), Impairment: func(source string) Impairment {
				if source == impairedSource && active.Load() {
					return c.impairment
				}
				return Impairment{}
			}}
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(p.Stop)
			impaired, unimpaired := dialFrom(t, impairedSource, p.Address()), dialFrom(t, otherSource, p.Address())
			if err := errors.Join(roundTrip(t, impaired, roundTripTimeout), roundTrip(t, unimpaired, roundTripTimeout)); err != nil {
				t.Fatal(err)
			}
			active.Store(true)
			if err := roundTrip(t, unimpaired, roundTripTimeout); err != nil {
				t.Errorf("unimpaired source: %v", err)
			}
			start := time.Now()
			if c.held {
				if err := roundTrip(t, impaired, holdTime); !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("held bytes: error %v, want a timeout", err)
				}
				active.Store(false)
				if err := impaired.SetDeadline(time.Now().Add(roundTripTimeout)); err != nil {
					t.Fatal(err)
				}
				if _, err := impaired.Read(make([]byte, 1)); err != nil {
					t.Errorf("reading the held byte after the impairment: %v", err)
				}
				return
			}
			if err := roundTrip(t, impaired, roundTripTimeout); err != nil || time.Since(start) < c.minDelay {
				t.Errorf("error %v after %v, want the echo after at least %v", err, time.Since(start), c.minDelay)
			}
		})
	}
}

func TestLinkResets(t *testing.T) {
	p := &ImpairedProxy{Listen: "127.0.0.1:0", Upstream: startEchoServer(t), Impairment: func(string) Impairment { return Impairment{} }}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	c := dialFrom(t, "127.0.0.1", p.Address())
	if err := roundTrip(t, c, roundTripTimeout); err != nil {
		t.Fatal(err)
	}
	p.Reset()
	if err := c.SetDeadline(time.Now().Add(roundTripTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v, want a connection reset", err)
	}
	if err := roundTrip(t, dialFrom(t, "127.0.0.1", p.Address()), roundTripTimeout); err != nil {
		t.Errorf("new connection after the reset: %v", err)
	}
}
