package conns

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	identifyTimeout  = 800 * time.Millisecond
	maxIdentityBytes = 64 << 10
)

// Identity is the call by which an endpoint tells which incarnation it is.
type Identity struct {
	Path string
	// Parse returns the incarnation from the body of the answer, "" when the endpoint does not tell it.
	Parse func(body []byte) (string, error)
}

// Identified is a connection of which it is known to which incarnation of an endpoint it leads.
type Identified struct {
	net.Conn
	Incarnation string // "" when the endpoint does not tell it
}

// NetConn returns the connection that was dialled.
func (c *Identified) NetConn() net.Conn { return c.Conn }

// Dial opens a connection with dial and asks the endpoint at its other end for its incarnation. An answer that can't be read
// is an error: the connection could not be used for anything else either.
func (i *Identity) Dial(ctx context.Context, dial func(ctx context.Context) (net.Conn, error)) (*Identified, error) {
	conn, err := dial(ctx)
	if err != nil {
		return nil, err
	}
	incarnation, err := i.ask(ctx, conn)
	if err != nil {
		Abandon(conn)
		return nil, errors.Wrap(err, "identifying the endpoint")
	}
	return &Identified{Conn: conn, Incarnation: incarnation}, nil
}

func (i *Identity) ask(ctx context.Context, conn net.Conn) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(identifyTimeout)); err != nil {
		return "", err
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+conn.RemoteAddr().String()+i.Path, nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("User-Agent", "")
	if err := beginQuestion(ctx); err != nil {
		return "", err
	}
	if err := req.Write(conn); err != nil {
		return "", err
	}
	reader := bufio.NewReader(&io.LimitedReader{R: conn, N: maxIdentityBytes})
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	switch malformed := cmp.Or(checkNames(resp.Header), checkNames(resp.Trailer)); {
	case err != nil:
		return "", err
	case malformed != nil:
		return "", malformed
	case resp.StatusCode != http.StatusOK:
		return "", errors.Errorf("status %d", resp.StatusCode)
	case resp.Close || reader.Buffered() > 0:
		return "", errors.New("the connection can't be used again")
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return "", err
	}
	return i.Parse(body)
}

// Verify returns what the endpoint at the other end of an identified connection told of itself; ok is false for any other
// connection. A connection that leads to another incarnation than the one that is meant is closed, so that nothing is written
// to it.
func Verify(conn net.Conn, incarnation string) (found string, ok bool) {
	c, ok := Inner(conn).(*Identified)
	if !ok {
		return "", false
	}
	if c.Incarnation != "" && c.Incarnation != incarnation {
		_ = c.Close()
	}
	return c.Incarnation, true
}
