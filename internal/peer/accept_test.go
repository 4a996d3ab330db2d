package peer

import (
	"context"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/event"
)

const lowLimit = "FIGSHIFT_TEST_LOW_LIMIT"

// A host without free descriptors ended its whole process when it could not accept another host's connection.
func TestMeshOutlivesALackOfDescriptors(t *testing.T) {
	if os.Getenv(lowLimit) != "" {
		acceptWithoutDescriptors(t)
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^TestMeshOutlivesALackOfDescriptors$")
	child.Env = append(os.Environ(), lowLimit+"=1")
	if out, err := child.CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}

// acceptWithoutDescriptors uses up the descriptors of this process while a connection waits to be accepted.
func acceptWithoutDescriptors(t *testing.T) {
	const limit = 64
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	m := &Mesh{Self: event.Host{Name: "h1"}, Secret: []byte("s"), Listen: address, Post: func(event.Event) bool { return true }, Scope: tally.NoopScope, Log: zap.NewNop()}
	m.Prepare()
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { ended <- m.Run(ctx) }()
	dial(t, address) // the listener is open
	files := openAll(t)
	_ = files[0].Close()
	conn := dial(t, address) // takes the last descriptor, so that the other end can't be accepted
	select {
	case err := <-ended:
		t.Fatalf("the mesh ended: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	for _, f := range files[1:] {
		_ = f.Close()
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Errorf("the connection was not served once there were descriptors: %v", err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("the mesh ended with %v", err)
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	const timeout = 5 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetReadDeadline(time.Now().Add(timeout))
			return conn
		}
	}
	t.Fatalf("no connection to %s within %v", address, timeout)
	return nil
}

// openAll opens files until no descriptor is left.
func openAll(t *testing.T) (files []*os.File) {
	t.Helper()
	for {
		f, err := os.Open(os.DevNull)
		if errors.Is(err, syscall.EMFILE) {
			return files
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = f.Close() })
		files = append(files, f)
	}
}
