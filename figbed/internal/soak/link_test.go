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
	heldFor   = 300 * time.Millisecond
	soon      = 2 * time.Second
	linkDelay = 200 * time.Millisecond
)

// echo answers each byte with itself.
func echo(t *testing.T) string {
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
func roundTrip(t *testing.T, c net.Conn, within time.Duration) error {
	t.Helper()
	if err := c.SetDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

// A harm falls on the connections of its source only, delays or holds bytes, and what was held comes when it ends.
func TestLinkHarms(t *testing.T) {
	const harmed, other = "127.0.1.11", "127.0.1.12"
	cases := map[string]struct {
		harm  Harm
		held  bool
		least time.Duration
	}{
		"none":          {},
		"requests held": {harm: Harm{Request: true}, held: true},
		"answers held":  {harm: Harm{Answer: true}, held: true},
		"delayed":       {harm: Harm{Delay: linkDelay}, least: 2 * linkDelay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var on atomic.Bool
			l := &Link{Listen: "127.0.0.1:0", Upstream: echo(t), Harm: func(source string) Harm {
				if source == harmed && on.Load() {
					return c.harm
				}
				return Harm{}
			}}
			if err := l.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Stop)
			a, b := dialFrom(t, harmed, l.Address()), dialFrom(t, other, l.Address())
			if err := errors.Join(roundTrip(t, a, soon), roundTrip(t, b, soon)); err != nil {
				t.Fatal(err)
			}
			on.Store(true)
			if err := roundTrip(t, b, soon); err != nil {
				t.Errorf("the other source: %v", err)
			}
			began := time.Now()
			if c.held {
				if err := roundTrip(t, a, heldFor); !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("held bytes: error %v, want a timeout", err)
				}
				on.Store(false)
				if err := a.SetDeadline(time.Now().Add(soon)); err != nil {
					t.Fatal(err)
				}
				if _, err := a.Read(make([]byte, 1)); err != nil {
					t.Errorf("after the harm: %v", err)
				}
				return
			}
			if err := roundTrip(t, a, soon); err != nil || time.Since(began) < c.least {
				t.Errorf("error %v after %v, want the byte after %v or more", err, time.Since(began), c.least)
			}
		})
	}
}

func TestLinkResets(t *testing.T) {
	l := &Link{Listen: "127.0.0.1:0", Upstream: echo(t), Harm: func(string) Harm { return Harm{} }}
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Stop)
	c := dialFrom(t, "127.0.0.1", l.Address())
	if err := roundTrip(t, c, soon); err != nil {
		t.Fatal(err)
	}
	l.Reset()
	if err := c.SetDeadline(time.Now().Add(soon)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v, want a reset", err)
	}
	if err := roundTrip(t, dialFrom(t, "127.0.0.1", l.Address()), soon); err != nil {
		t.Errorf("a new connection: %v", err)
	}
}
