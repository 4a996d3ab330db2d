package peer

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/retry"
)

// Pauses after a connection could not be accepted, such as for lack of descriptors; they double up to the longest one.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// idleTimeout is the time without a received frame after which an inbound connection is closed.
const idleTimeout = 15 * time.Second

// maxHandshakes bounds the inbound connections that have not proved that they are hosts.
const maxHandshakes = 32

// Mesh sends on one outgoing connection to each peer and receives on the connections that peers open.
// Its exported fields are set before Prepare.
type Mesh struct {
	Self   event.Host
	Secret []byte
	Listen string // host:port of the listener for peers
	Post   func(event.Event) bool
	Scope  tally.Scope
	Log    *zap.Logger

	mutex        sync.Mutex
	links        map[string]*link
	ctx          context.Context
	cancel       context.CancelFunc
	inboundConns map[string]int // number of open inbound connections by host and incarnation
	handshakes   []net.Conn     // inbound connections whose handshake runs, in the order of their arrival
	frames       frameCache
}

// Prepare initialises the mesh; it is called once, before Do and Run.
func (m *Mesh) Prepare() {
	m.links = map[string]*link{}
	m.inboundConns = map[string]int{}
	m.ctx, m.cancel = context.WithCancel(context.Background())
}

// Do carries out ConnectPeers and SendPeer; it returns false for other effects. It may be called concurrently.
func (m *Mesh) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.ConnectPeers:
		m.setPeers(e.Hosts)
	case event.SendPeer:
		m.enqueue(e)
	default:
		return false
	}
	return true
}

func (m *Mesh) setPeers(hosts []event.Host) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	wanted := map[string]event.Host{}
	for _, h := range hosts {
		wanted[h.Name] = h
	}
	for name, l := range m.links {
		if wanted[name].Address != l.host.Address {
			l.cancel()
			delete(m.links, name)
		}
	}
	for name, h := range wanted {
		if m.links[name] == nil {
			m.links[name] = m.openLink(h)
		}
	}
}

func (m *Mesh) openLink(h event.Host) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{mesh: m, host: h, queue: newQueue(), cancel: cancel}
	go l.run(ctx)
	return l
}

func (m *Mesh) enqueue(e event.SendPeer) {
	m.mutex.Lock()
	l := m.links[e.Host]
	m.mutex.Unlock()
	if l == nil {
		m.count("FramesDropped", "Reason", "NoLink")
		return
	}
	if l.queue.put(e.Message) > 0 {
		m.count("FramesDropped", "Reason", "QueueFull")
	}
}

// Run accepts connections until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	defer m.cancel()
	listener, err := net.Listen("tcp", m.Listen)
	if err != nil {
		return errors.Wrap(err, "opening the peer listener")
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for pause := time.Duration(0); ; {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			pause = 0
			m.handshakeBegun(conn)
			go m.serve(ctx, conn)
			continue
		}
		if pause == 0 {
			m.Log.Error("PeerNotAccepted", zap.Error(err))
		}
		pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
		if retry.Sleep(ctx, pause) != nil {
			return nil
		}
	}
}

// serve receives on one connection; an invalid frame closes only this connection.
func (m *Mesh) serve(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	hello, err := m.handshake().accept(conn)
	m.handshakeEnded(conn)
	if err != nil {
		m.count("PeersRefused", "Reason", "Handshake")
		m.logDebug("PeerRefused", conn.RemoteAddr().String(), err)
		return
	}
	peer := event.PeerUp{Host: hello.Host, Incarnation: hello.Incarnation, Zone: hello.Zone, Address: hello.Address}
	m.connOpened(peer)
	defer m.connClosed(peer)
	err = m.receive(conn, peer)
	m.logDebug("PeerEnded", hello.Host, err)
}

// handshakeBegun records a connection whose handshake begins. With maxHandshakes others, it closes the oldest of them.
func (m *Mesh) handshakeBegun(conn net.Conn) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.handshakes) == maxHandshakes {
		_ = m.handshakes[0].Close() // its handshake fails and is counted
		m.handshakes = m.handshakes[1:]
	}
	m.handshakes = append(m.handshakes, conn)
}

func (m *Mesh) handshakeEnded(conn net.Conn) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.handshakes = slices.DeleteFunc(m.handshakes, func(c net.Conn) bool { return c == conn })
}

func (m *Mesh) receive(conn net.Conn, peer event.PeerUp) error {
	r := bufio.NewReader(&countingReader{conn: conn, mesh: m})
	for {
		if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return errors.Wrap(err, "setting a read deadline")
		}
		message, err := Decode(r, MaxFrameBytes)
		if err != nil {
			return err
		}
		m.Post(event.PeerReceived{Host: peer.Host, Incarnation: peer.Incarnation, Message: message})
	}
}

func (m *Mesh) connOpened(peer event.PeerUp) {
	m.mutex.Lock()
	m.inboundConns[connKey(peer)]++
	m.mutex.Unlock()
	m.Post(peer)
}

// connClosed reports a peer as down when its last inbound connection has ended.
func (m *Mesh) connClosed(peer event.PeerUp) {
	m.mutex.Lock()
	m.inboundConns[connKey(peer)]--
	last := m.inboundConns[connKey(peer)] == 0
	if last {
		delete(m.inboundConns, connKey(peer))
	}
	m.mutex.Unlock()
	if last {
		m.Post(event.PeerDown{Host: peer.Host, Incarnation: peer.Incarnation})
	}
}

// localAddress returns the address to dial from, which is the listener's, so that peers see one address per host.
func (m *Mesh) localAddress() net.Addr {
	host, _, err := net.SplitHostPort(m.Listen)
	ip := net.ParseIP(host)
	if err != nil || ip == nil || ip.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}

func connKey(peer event.PeerUp) string { return peer.Host + "/" + peer.Incarnation }

func (m *Mesh) handshake() handshake { return handshake{self: m.Self, secret: m.Secret} }

func (m *Mesh) count(name, tag, value string) {
	m.Scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(1)
}

func (m *Mesh) countBytes(direction string, n int) {
	m.Scope.Tagged(map[string]string{"Direction": direction}).Counter("PeerBytes").Inc(int64(n))
}

func (m *Mesh) logDebug(name, host string, err error) {
	m.Log.Debug(name, zap.String("Host", host), zap.Error(err))
}

// countingReader counts the bytes received on a connection.
type countingReader struct {
	conn net.Conn
	mesh *Mesh
}

// Read reads from the connection and counts the bytes.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	r.mesh.countBytes("received", n)
	return n, err
}
