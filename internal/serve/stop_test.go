package serve

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// During a graceful stop under load, connections that had just been made were closed without an answer: those that waited
// to be accepted when the listener was closed, and those that were accepted at that moment.
func TestStopAnswersEveryConnection(t *testing.T) {
	const rounds, callers = 40, 16
	for round := range rounds {
		address := freeAddress(t)
		closed := make(chan struct{})
		s := &Server{Address: address, Post: func(ev event.Event) bool {
			if _, ok := ev.(event.ListenerClosed); ok {
				close(closed)
			}
			return true
		}}
		s.Prepare()
		ctx, exit := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- s.Run(ctx) }()
		var group sync.WaitGroup
		var answered, stoppedAt atomic.Int64 // calls; Unix time of the stop in ns, 0 before
		cut := make(chan error, callers)
		for range callers {
			group.Go(func() {
				if err := callUntilRefused(address, &answered, &stoppedAt); err != nil {
					cut <- err
				}
			})
		}
		for answered.Load() < callers {
			time.Sleep(100 * time.Microsecond)
		}
		stoppedAt.Store(time.Now().UnixNano())
		s.Do(event.StopListening{})
		<-closed
		exit() // the process ends once the listener has closed
		if err := <-stopped; err != nil {
			t.Fatal(err)
		}
		group.Wait()
		close(cut)
		for err := range cut {
			t.Errorf("round %d: a connection was made and got no answer: %v", round, err)
		}
	}
}

// callUntilRefused makes calls on connections of their own until one is refused. It returns an error when a connection was
// made but its call got no whole answer. Only one that was made after the stop may be refused with a reset.
func callUntilRefused(address string, answered, stoppedAt *atomic.Int64) error {
	for begun := time.Now(); ; {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			if answered.Load() > 0 || time.Since(begun) > testTimeout {
				return nil
			}
			time.Sleep(time.Millisecond) // the listener has not started yet
			continue
		}
		connected := time.Now().UnixNano()
		err = callHealth(conn)
		_ = conn.Close()
		if stop := stoppedAt.Load(); stop > 0 && connected > stop && errors.Is(err, syscall.ECONNRESET) {
			return nil
		}
		if err != nil {
			return err
		}
		answered.Add(1)
	}
}

func callHealth(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return err
	}
	return readOK(conn)
}

// readOK reads an answer with status 200.
func readOK(conn net.Conn) error {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

func freeAddress(t *testing.T) string {
	t.Helper()
	return strings.TrimPrefix(deadAddress(t), "http://")
}
