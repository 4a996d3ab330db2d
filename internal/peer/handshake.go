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

// handshake proves to both sides of a connection that the other side knows the shared secret.
type handshake struct {
	self   event.Host
	secret []byte
}

// dial runs the handshake on the dialling side and returns the listener's Hello.
func (h handshake) dial(conn net.Conn) (wire.Hello, error) {
	return h.run(conn, roleDialer, roleListener)
}

// accept runs the handshake on the listening side and returns the dialler's Hello.
func (h handshake) accept(conn net.Conn) (wire.Hello, error) {
	return h.run(conn, roleListener, roleDialer)
}

func (h handshake) run(conn net.Conn, ownRole, peerRole string) (wire.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return wire.Hello{}, errors.Wrap(err, "setting the deadline of the handshake")
	}
	ownHello, err := h.newHello()
	if err != nil {
		return wire.Hello{}, err
	}
	if err := send(conn, wire.Message{Hello: &ownHello}); err != nil {
		return wire.Hello{}, err
	}
	peerHello, err := receiveHello(conn)
	if err != nil {
		return wire.Hello{}, err
	}
	proof := &wire.Proof{MAC: h.mac(ownRole, ownHello, peerHello)}
	if err := send(conn, wire.Message{Proof: proof}); err != nil {
		return wire.Hello{}, err
	}
	if err := h.verify(conn, peerRole, peerHello, ownHello); err != nil {
		return wire.Hello{}, err
	}
	return peerHello, errors.Wrap(conn.SetDeadline(time.Time{}), "clearing the deadline of the handshake")
}

func (h handshake) newHello() (wire.Hello, error) {
	challenge := make([]byte, challengeBytes)
	if _, err := rand.Read(challenge); err != nil {
		return wire.Hello{}, errors.Wrap(err, "generating a challenge")
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
		return wire.Hello{}, errors.New("the first frame is not a valid Hello")
	}
	if message.Hello.Version != protocolVersion {
		return wire.Hello{}, errors.Errorf("unsupported protocol version %d", message.Hello.Version)
	}
	return *message.Hello, nil
}

// verify reads the other side's Proof and compares it with the MAC that its Hello requires.
func (h handshake) verify(conn net.Conn, peerRole string, peerHello, ownHello wire.Hello) error {
	message, err := Decode(conn, maxHelloBytes)
	if err != nil {
		return err
	}
	if message.Proof == nil || !hmac.Equal(message.Proof.MAC, h.mac(peerRole, peerHello, ownHello)) {
		return errors.Errorf("host %s does not know the shared secret", peerHello.Host)
	}
	return nil
}

// mac covers the prover's role and identity, so that a proof can't be reflected or replayed for another host.
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
