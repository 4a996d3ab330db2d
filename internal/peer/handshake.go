package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	protocolVersion  = 1
	challengeBytes   = 32
	handshakeTimeout = 2 * time.Second
	roleDialer       = "dialer"
	roleListener     = "listener"
)

// handshake proves to each side of a connection that the other knows the shared secret.
type handshake struct {
	self   event.Host
	secret []byte
}

// dial runs the dialling side and returns what the listening side says of itself.
func (h handshake) dial(conn net.Conn) (wire.Hello, error) {
	return h.run(conn, roleDialer, roleListener)
}

// accept runs the listening side and returns what the dialling side says of itself.
func (h handshake) accept(conn net.Conn) (wire.Hello, error) {
	return h.run(conn, roleListener, roleDialer)
}

func (h handshake) run(conn net.Conn, own, other string) (wire.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return wire.Hello{}, errors.Wrap(err, "setting the handshake's deadline")
	}
	mine, err := h.hello()
	if err != nil {
		return wire.Hello{}, err
	}
	if err := send(conn, wire.Message{Hello: &mine}); err != nil {
		return wire.Hello{}, err
	}
	theirs, err := receiveHello(conn)
	if err != nil {
		return wire.Hello{}, err
	}
	proof := &wire.Proof{MAC: h.mac(own, mine, theirs)}
	if err := send(conn, wire.Message{Proof: proof}); err != nil {
		return wire.Hello{}, err
	}
	if err := h.check(conn, other, theirs, mine); err != nil {
		return wire.Hello{}, err
	}
	return theirs, errors.Wrap(conn.SetDeadline(time.Time{}), "clearing the handshake's deadline")
}

func (h handshake) hello() (wire.Hello, error) {
	challenge := make([]byte, challengeBytes)
	if _, err := rand.Read(challenge); err != nil {
		return wire.Hello{}, errors.Wrap(err, "making a challenge")
	}
	return wire.Hello{
		Version:     protocolVersion,
		Host:        h.self.Name,
		Zone:        h.self.Zone,
		Incarnation: h.self.Incarnation,
		Address:     h.self.Address,
		Challenge:   challenge,
		Compressed:  true,
	}, nil
}

func receiveHello(conn net.Conn) (wire.Hello, error) {
	message, err := Decode(conn, maxHelloBytes)
	if err != nil {
		return wire.Hello{}, err
	}
	if message.Hello == nil || len(message.Hello.Challenge) != challengeBytes || message.Hello.Host == "" {
		return wire.Hello{}, errors.New("the first frame is no valid Hello")
	}
	if message.Hello.Version != protocolVersion {
		return wire.Hello{}, errors.Errorf("unknown protocol version %d", message.Hello.Version)
	}
	return *message.Hello, nil
}

// check reads the other side's Proof and compares it with what its Hello requires.
func (h handshake) check(conn net.Conn, role string, theirs, mine wire.Hello) error {
	message, err := Decode(conn, maxHelloBytes)
	if err != nil {
		return err
	}
	if message.Proof == nil || !hmac.Equal(message.Proof.MAC, h.mac(role, theirs, mine)) {
		return errors.Errorf("host %s does not know the shared secret", theirs.Host)
	}
	return nil
}

// mac covers the prover's role and identity, so that a proof can't be reflected or used for another host.
func (h handshake) mac(role string, prover, verifier wire.Hello) []byte {
	sum := hmac.New(sha256.New, h.secret)
	for _, field := range []string{role, prover.Host, prover.Zone, prover.Incarnation, prover.Address} {
		sum.Write([]byte(field))
		sum.Write([]byte{0})
	}
	sum.Write(verifier.Challenge)
	sum.Write(prover.Challenge)
	return sum.Sum(nil)
}

func send(conn net.Conn, message wire.Message) error {
	frame, err := Encode(message)
	if err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return errors.Wrap(err, "writing a frame")
}
