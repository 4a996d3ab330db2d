package peer

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const testTimeout = 5 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is a running mesh and the events that it posted.
type node struct {
	*Mesh
	events chan event.Event
}

func startNode(t *testing.T, name, secret string) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	n := &node{events: make(chan event.Event, 1000)}
	n.Mesh = &Mesh{
		Self:   event.Host{Name: name, Zone: "a", Address: address, Incarnation: name + "-1"},
		Secret: []byte(secret),
		Listen: address,
		Post:   func(ev event.Event) bool { n.events <- ev; return true },
		Scope:  tally.NoopScope,
		Log:    zap.NewNop(),
	}
	n.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

func (n *node) next(t *testing.T) event.Event {
	t.Helper()
	select {
	case ev := <-n.events:
		return ev
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for an event")
		return nil
	}
}

func TestMeshDelivers(t *testing.T) {
	a, b := startNode(t, "a", "secret"), startNode(t, "b", "secret")
	a.Do(event.ConnectPeers{Hosts: []event.Host{b.Self}})
	up := event.PeerUp{Host: "a", Incarnation: "a-1", Zone: "a", Address: a.Self.Address}
	if diff := cmp.Diff(event.Event(up), b.next(t)); diff != "" {
		t.Fatalf("first event (-want +got):\n%s", diff)
	}
	// Messages queued before the handshake are dropped, so the message is sent repeatedly until it arrives.
	message := wire.Message{Ask: &wire.Ask{ID: 3, Duty: "Usage", Body: []byte("body")}}
	sending := time.NewTicker(20 * time.Millisecond)
	defer sending.Stop()
	deadline := time.After(testTimeout)
	for received := false; !received; {
		select {
		case <-sending.C:
			a.Do(event.SendPeer{Host: "b", Message: message})
		case ev := <-b.events:
			want := event.PeerReceived{Host: "a", Incarnation: "a-1", Message: message}
			if diff := cmp.Diff(event.Event(want), ev); diff != "" {
				t.Fatalf("received (-want +got):\n%s", diff)
			}
			received = true
		case <-deadline:
			t.Fatal("the message did not arrive")
		}
	}
	a.Do(event.ConnectPeers{})
	for ev := b.next(t); ; ev = b.next(t) {
		if _, ok := ev.(event.PeerDown); ok {
			return
		}
	}
}

func TestMeshRefuses(t *testing.T) {
	oversized := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	cases := map[string]func(conn net.Conn){
		"another secret": func(conn net.Conn) {
			_, _ = handshake{self: event.Host{Name: "x", Incarnation: "x-1"}, secret: []byte("other")}.dial(conn)
		},
		"no hello": func(conn net.Conn) { _ = send(conn, wire.Message{Beat: &wire.Beat{Seq: 1}}) },
		"oversized hello": func(conn net.Conn) {
			_, _ = conn.Write(binary.BigEndian.AppendUint32(nil, maxHelloBytes+1))
		},
		"oversized frame": func(conn net.Conn) {
			_, _ = handshake{self: event.Host{Name: "x", Incarnation: "x-1"}, secret: []byte("secret")}.dial(conn)
			_, _ = conn.Write(oversized)
		},
		"no msgpack": func(conn net.Conn) {
			_, _ = handshake{self: event.Host{Name: "x", Incarnation: "x-1"}, secret: []byte("secret")}.dial(conn)
			_, _ = conn.Write([]byte{0, 0, 0, 2, 0xc1, 0xc1})
		},
	}
	for name, misbehave := range cases {
		t.Run(name, func(t *testing.T) {
			n, good := startNode(t, "n", "secret"), startNode(t, "good", "secret")
			good.Do(event.ConnectPeers{Hosts: []event.Host{n.Self}})
			n.next(t)
			conn, err := net.Dial("tcp", n.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			misbehave(conn)
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			if !closedByPeer(conn) {
				t.Fatal("the connection was not closed")
			}
			for len(n.events) > 0 {
				switch ev := n.next(t).(type) {
				case event.PeerReceived:
					t.Errorf("a frame was received: %+v", ev)
				case event.PeerDown:
					if ev.Host == "good" {
						t.Error("the other connection was closed")
					}
				}
			}
		})
	}
}

// closedByPeer reads to the end and reports whether the other side closed the connection.
func closedByPeer(conn net.Conn) bool {
	buffer := make([]byte, 1024)
	for {
		if _, err := conn.Read(buffer); err != nil {
			timeout, ok := err.(net.Error)
			return !ok || !timeout.Timeout()
		}
	}
}

func TestQueueDropsOldestHeartbeat(t *testing.T) {
	q := newQueue()
	q.put(wire.Message{Push: &wire.Push{Prefix: "first"}})
	for i := range queueSize {
		q.put(wire.Message{Beat: &wire.Beat{Seq: uint64(i)}})
	}
	taken := q.take()
	got := []any{len(taken), taken[0].Push != nil, taken[1].Beat.Seq, taken[len(taken)-1].Beat.Seq}
	if diff := cmp.Diff([]any{queueSize, true, uint64(1), uint64(queueSize - 1)}, got); diff != "" {
		t.Errorf("length, first, second and last (-want +got):\n%s", diff)
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	heartbeat := &wire.Beat{Seq: 1 << 20, ConfigRevision: 100, KeysRevision: 1000, EvidenceAgeMS: 300, OwnContactMS: 300, Ready: true}
	for range 8 {
		heartbeat.Served = append(heartbeat.Served, wire.Served{Organisation: "organisation", Tokens: 1 << 30, Queued: 10, Running: 10})
	}
	frame, err := Encode(wire.Message{Beat: heartbeat})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		_, _ = Encode(wire.Message{Beat: heartbeat})
	}
	b.ReportMetric(float64(len(frame)), "bytes")
}
