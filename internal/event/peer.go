package event

import (
	"time"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Host is one daemon's host as registered in its Hosts object. Only admitted hosts count for majorities. A new host
// is admitted once a majority of the admitted hosts knows of it; otherwise a partitioned part of the fleet could act
// as a majority of an outdated host list.
type Host struct {
	Name        string
	Zone        string
	Address     string // of the peer listener, host:port
	Incarnation string
	Admitted    bool
	Power       int    `json:",omitempty"` // processor time in hundredths of a core, 0 if not known
	Build       string `json:",omitempty"` // "" for builds that do not tell it
}

// ZonesOf returns the zone of each host by host name. It may be called concurrently.
func ZonesOf(hosts []Host) map[string]string {
	zones := make(map[string]string, len(hosts))
	for _, h := range hosts {
		zones[h.Name] = h.Zone
	}
	return zones
}

// ConnectPeers names the hosts to keep connections to; connections to other hosts are closed.
type ConnectPeers struct{ Hosts []Host }

// SendPeer sends a message to one host; without a connection the message is dropped.
type SendPeer struct {
	Host    string
	Message wire.Message
}

// PeerUp reports that the connection from a peer has completed its handshake; messages of the peer are received from
// now on.
type PeerUp struct {
	Host        string
	Incarnation string
	Zone        string
	Address     string // of the peer's own listener, host:port
}

// PeerDown reports that the connection from a peer has ended.
type PeerDown struct{ Host, Incarnation string }

// PeerReceived is a message from an authenticated peer.
type PeerReceived struct {
	Host        string
	Incarnation string
	Message     wire.Message
}

// KnowHosts gives the executors that call other hosts the list of the known ones.
type KnowHosts struct{ Hosts []Host }

// HostsChanged is raised when the known hosts have changed. Hosts is sorted by name and includes this host. Hubs
// names, sorted, the hosts through which the zones of a large fleet receive each other's heartbeats; it is empty in a
// fleet in which every host receives those of all others.
type HostsChanged struct {
	Hosts []Host
	Hubs  []string
}

// BeatSeen is raised for each heartbeat that is newer than the last one of its sender. If Anchored is set, the
// heartbeat was built after time Anchor on this daemon's clock, because it echoes a heartbeat that this daemon sent
// then.
type BeatSeen struct {
	Host     string
	Beat     wire.Beat
	Anchor   time.Duration
	Anchored bool
}

// HostLost is raised when no heartbeat has arrived from a host for Trust.HostLost.
type HostLost struct{ Host string }

// AskDuty calls the holder of a duty, on whichever host it runs; AskDone answers. Owner is the listener or component
// that makes the call.
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

// DutyAsked is raised on the holder of a duty for each call to it; the component answers with AnswerDuty.
type DutyAsked struct {
	From string // calling host, possibly this one
	ID   uint64
	Duty string
	Call string
	Body []byte
}

// AnswerDuty is raised by a component to answer a DutyAsked.
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
