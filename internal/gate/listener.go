package gate

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listener accepts connections through a gate.
type Listener struct {
	*net.TCPListener
	Gate *Gate
}

// Listen returns a listener at an address, host:port.
func (g *Gate) Listen(address string) (*Listener, error) {
	listener, err := Listen(address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: listener, Gate: g}, nil
}

// Listen returns a listener at an address, host:port, of whose connections the system holds a bounded number of unread bytes.
func Listen(address string) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: setReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// setReceiveBuffer sets the size of the receive buffer, which accepted connections inherit.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
	if err != nil {
		return err
	}
	return failed
}

// Accept returns the next connection that the gate admits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := l.Gate.Admit(tcp); c != nil {
			return c, nil
		}
	}
}
