package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/event"
)

// idleTimeout ends a connection on which nothing was received.
const idleTimeout = 15 * time.Second

// Mesh keeps a connection to each peer for what is sent, and takes connections from peers for what is received.
// Its exported fields are set before Prepare.
type Mesh struct {
	Self   event.Host
	Secret []byte
	Listen string // host:port
	Post   func(event.Event) bool
	Scope  tally.Scope
	Log    *zap.Logger

	mutex   sync.Mutex
	links   map[string]*link
	ctx     context.Context
	cancel  context.CancelFunc
	inbound map[string]int // open connections by host and incarnation
	frames  frameCache
}

// Prepare readies the mesh for Do; it is called once, before Do and Run.
func (m *Mesh) Prepare() {
	m.links = map[string]*link{}
	m.inbound = map[string]int{}
	m.ctx, m.cancel = context.WithCancel(context.Background())
}

// Do carries out ConnectPeers and SendPeer; it returns false for other effects. It may be called concurrently.
func (m *Mesh) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.ConnectPeers:
		m.connect(e.Hosts)
	case event.SendPeer:
		m.send(e)
	default:
		return false
	}
	return true
}

func (m *Mesh) connect(hosts []event.Host) {
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
			m.links[name] = m.open(h)
		}
	}
}

func (m *Mesh) open(h event.Host) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{mesh: m, host: h, queue: newQueue(), cancel: cancel}
	go l.run(ctx)
	return l
}

func (m *Mesh) send(e event.SendPeer) {
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
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accepting a peer")
		}
		go m.serve(ctx, conn)
	}
}

// serve receives on one connection; an invalid frame ends this connection only.
func (m *Mesh) serve(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	hello, err := m.handshake().accept(conn)
	if err != nil {
		m.count("PeersRefused", "Reason", "Handshake")
		m.debug("PeerRefused", conn.RemoteAddr().String(), err)
		return
	}
	peer := event.PeerUp{Host: hello.Host, Incarnation: hello.Incarnation, Zone: hello.Zone, Address: hello.Address}
	m.opened(peer)
	defer m.closed(peer)
	err = m.receive(conn, peer)
	m.debug("PeerEnded", hello.Host, err)
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

func (m *Mesh) opened(peer event.PeerUp) {
	m.mutex.Lock()
	m.inbound[connKey(peer)]++
	m.mutex.Unlock()
	m.Post(peer)
}

// closed reports a peer as down when its last connection has ended.
func (m *Mesh) closed(peer event.PeerUp) {
	m.mutex.Lock()
	m.inbound[connKey(peer)]--
	last := m.inbound[connKey(peer)] == 0
	if last {
		delete(m.inbound, connKey(peer))
	}
	m.mutex.Unlock()
	if last {
		m.Post(event.PeerDown{Host: peer.Host, Incarnation: peer.Incarnation})
	}
}

// localAddress returns the address to dial from, that of the listener, so that peers see one address for each host.
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

func (m *Mesh) bytes(direction string, n int) {
	m.Scope.Tagged(map[string]string{"Direction": direction}).Counter("PeerBytes").Inc(int64(n))
}

func (m *Mesh) debug(name, host string, err error) {
	m.Log.Debug(name, zap.String("Host", host), zap.Error(err))
}

// countingReader counts the bytes received on a connection.
type countingReader struct {
	conn net.Conn
	mesh *Mesh
}

// Read reads from the connection.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	r.mesh.bytes("received", n)
	return n, err
}
