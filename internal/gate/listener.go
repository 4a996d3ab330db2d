package gate

import "net"

// Listener accepts connections through a gate.
type Listener struct {
	*net.TCPListener
	Gate *Gate
}

// Listen returns a listener at an address, host:port.
func (g *Gate) Listen(address string) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: listener.(*net.TCPListener), Gate: g}, nil
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
