package event

import (
	"time"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Host is one daemon's host as its Hosts object tells. Only admitted hosts count for majorities: a new host is
// admitted when a majority of those that are knows of it, so that a part of the fleet that is cut off can't go on
// as a majority of an outdated list.
type Host struct {
	Name        string
	Zone        string
	Address     string // of the peer listener, host:port
	Incarnation string
	Admitted    bool
	Power       int `json:",omitempty"` // processor time in hundredths of a core, 0 when not known
}

// ZonesOf returns the zones of hosts by their names. It may be called concurrently.
func ZonesOf(hosts []Host) map[string]string {
	zones := make(map[string]string, len(hosts))
	for _, h := range hosts {
		zones[h.Name] = h.Zone
	}
	return zones
}

// ConnectPeers gives the hosts to keep connections to; the others are closed.
type ConnectPeers struct{ Hosts []Host }

// SendPeer sends a frame to one host; it is dropped when there is no connection.
type SendPeer struct {
	Host    string
	Message wire.Message
}

// PeerUp says that a connection from a peer has passed its handshake: what the peer sends is received.
type PeerUp struct {
	Host        string
	Incarnation string
	Zone        string
	Address     string // of the peer's own listener, host:port
}

// PeerDown says that the connection from a peer has ended.
type PeerDown struct{ Host, Incarnation string }

// PeerReceived is a frame from an authenticated peer.
type PeerReceived struct {
	Host        string
	Incarnation string
	Message     wire.Message
}

// KnowHosts gives the other known hosts to the executors that call them.
type KnowHosts struct{ Hosts []Host }

// HostsChanged is raised when the known hosts changed; Hosts are sorted by name and include this one. Hubs are the names
// of those by which the zones of a large fleet hear of each other, sorted; none in a fleet in which all hear each other.
type HostsChanged struct {
	Hosts []Host
	Hubs  []string
}

// BeatSeen is raised for each beat that is newer than the last one of its sender. When Anchored is set, the
// beat was built after Anchor on this daemon's clock: it answers a beat that was sent from here at that time.
type BeatSeen struct {
	Host     string
	Beat     wire.Beat
	Anchor   time.Duration
	Anchored bool
}

// HostLost is raised when no beat came from a host for the failure timeout.
type HostLost struct{ Host string }

// AskDuty calls the holder of a duty, wherever it is; AskDone answers. The caller of Ask is a listener or a part.
type AskDuty struct {
	Owner    string
	Seq      uint64
	Duty     string
	Call     string
	Body     []byte
	Deadline time.Duration
}

// AskDone ends an AskDuty. Kind is "" for success.
type AskDone struct {
	Owner string
	Seq   uint64
	Kind  kinds.Kind
	Body  []byte
}

// DutyAsked is raised at the holder for a call to its duty; the part answers with AnswerDuty.
type DutyAsked struct {
	From string // host, or this host
	ID   uint64
	Duty string
	Call string
	Body []byte
}

// AnswerDuty is raised by a part to answer a DutyAsked.
type AnswerDuty struct {
	To   string
	ID   uint64
	Kind kinds.Kind
	Body []byte
}

func (ConnectPeers) isEffect() {}
func (KnowHosts) isEffect()    {}
func (SendPeer) isEffect()     {}
func (PeerUp) isEvent()        {}
func (PeerDown) isEvent()      {}
func (PeerReceived) isEvent()  {}
func (HostsChanged) isEvent()  {}
func (BeatSeen) isEvent()      {}
func (HostLost) isEvent()      {}
func (AskDuty) isEvent()       {}
func (AskDone) isEvent()       {}
func (AskDone) isEffect()      {}
func (DutyAsked) isEvent()     {}
func (AnswerDuty) isEvent()    {}
