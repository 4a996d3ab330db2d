package peer

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	dialTimeout    = time.Second
	writeTimeout   = 2 * time.Second
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
)

// link is the outgoing connection to one host. It redials after a failure until its context ends.
type link struct {
	mesh   *Mesh
	host   event.Host
	queue  *queue
	cancel context.CancelFunc
}

func (l *link) run(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = minRedialDelay
	delay.MaxInterval = maxRedialDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := l.connect(ctx)
		l.mesh.count("LinksEnded", "Reason", "Failed")
		l.mesh.logDebug("PeerLinkEnded", l.host.Name, err)
		if time.Since(started) > maxRedialDelay {
			delay.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// connect dials, runs the handshake and sends queued messages until the connection fails or ctx ends.
func (l *link) connect(ctx context.Context) error {
	dialer := conns.Dialer(dialTimeout)
	dialer.LocalAddr = l.mesh.localAddress()
	conn, err := dialer.DialContext(ctx, "tcp", l.host.Address)
	if err != nil {
		return errors.Wrap(err, "dialling a peer")
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	hello, err := l.mesh.handshake().dial(conn)
	if err != nil {
		return err
	}
	if hello.Host != l.host.Name {
		return errors.Errorf("the listener at %s is host %s, not %s", l.host.Address, hello.Host, l.host.Name)
	}
	l.queue.take() // messages queued while there was no connection are outdated
	encode := Encode
	if hello.Compressed {
		encode = l.mesh.frames.encode
	}
	return l.send(ctx, conn, encode)
}

func (l *link) send(ctx context.Context, conn net.Conn, encode func(wire.Message) ([]byte, error)) error {
	closed := watchClose(conn)
	w := bufio.NewWriter(conn)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-closed:
			return errors.New("connection closed by the peer")
		case <-l.queue.filled:
		}
		if err := l.flush(conn, w, encode); err != nil {
			return err
		}
	}
}

func (l *link) flush(conn net.Conn, w *bufio.Writer, encode func(wire.Message) ([]byte, error)) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "setting a write deadline")
	}
	for _, message := range l.queue.take() {
		frame, err := encode(message)
		if err != nil {
			l.mesh.count("FramesRefused", "Reason", "TooLarge")
			continue
		}
		if _, err := w.Write(frame); err != nil {
			return errors.Wrap(err, "writing a frame")
		}
		l.mesh.countBytes("sent", len(frame))
	}
	return errors.Wrap(w.Flush(), "writing frames")
}

// watchClose returns a channel that is closed when the other side closes the connection. It can read from conn because
// the listening side sends nothing after the handshake.
func watchClose(conn net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = conn.Read(make([]byte, 1))
	}()
	return closed
}
