package proc

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// Host is a daemon and its links. Listen, Operators and Peer are the addresses of the daemon's own listeners, which the
// links lead to.
type Host struct {
	*Process
	Name         string
	Zone         string
	IP           string
	Listen       string
	Operators    string
	Peer         string
	PlatformLink *Link            // from the daemon to the platform
	CallerLink   *Link            // from callers to the daemon; URL bypasses it
	PeerLinks    map[string]*Link // from each other host to this one, by name; "" for connections from unknown IPs

	cluster    *Cluster
	peerRouter *peerRouter
}

func (c *Cluster) startHosts() {
	c.t.Helper()
	for i := range c.Daemons {
		c.Hosts = append(c.Hosts, c.newHost(i))
	}
	for _, h := range c.Hosts {
		h.openPeerLinks()
	}
	for _, h := range c.Hosts {
		h.Start()
	}
	if c.SkipReadyWait {
		return
	}
	for _, h := range c.Hosts {
		WaitUntil(c.t, readyTimeout, h.Name+" is ready", h.Ready)
	}
}

func (c *Cluster) newHost(i int) *Host {
	ip := fmt.Sprintf("127.0.0.%d", 11+i)
	h := &Host{Name: fmt.Sprintf("h%d", i+1), Zone: c.Zones[i%len(c.Zones)], IP: ip, cluster: c}
	h.Listen = Address(c.t, ip)
	h.Operators = Address(c.t, ip)
	h.Peer = Address(c.t, ip)
	h.PlatformLink = NewLink(c.t, ip, c.PlatformProcess.Listen)
	h.CallerLink = NewLink(c.t, "127.0.0.1", h.Listen)
	return h
}

func (h *Host) openPeerLinks() {
	h.PeerLinks = map[string]*Link{"": NewLink(h.cluster.t, h.IP, h.Peer)}
	bySourceIP := map[string]*Link{"": h.PeerLinks[""]}
	for _, other := range h.cluster.Hosts {
		if other == h {
			continue
		}
		h.PeerLinks[other.Name] = NewLink(h.cluster.t, h.IP, h.Peer)
		bySourceIP[other.IP] = h.PeerLinks[other.Name]
	}
	h.peerRouter = newPeerRouter(h.cluster.t, h.IP, bySourceIP)
}

// Start starts the daemon. It may be called again after the daemon has exited and then reuses the addresses.
func (h *Host) Start() {
	c := h.cluster
	c.t.Helper()
	base := c.writeFile(h.Name+"-base.ini", formatSection("Host",
		"Platform", "http://127.0.0.1:1",
		"PeerSecretFile", c.filePath("secret"),
		"CredentialFile", c.filePath("credential"),
		"BalancerDelay", "100ms")+c.Overlay)
	overlay := c.writeFile(h.Name+".ini", formatSection("Host",
		"Host", h.Name,
		"Zone", h.Zone,
		"Listen", h.Listen,
		"Operators", h.Operators,
		"Peer", h.Peer,
		"PeerAdvertise", h.peerRouter.address(),
		"Platform", "http://"+h.PlatformLink.Listen))
	args := []string{"--config", base, "--overlay", overlay}
	if c.Record {
		args = append(args, "--record", h.TraceFile())
	}
	h.Process = Start(c.t, h.Name, "figd", args...)
}

// TraceFile returns the path of the file in which the daemon records its steps when Cluster.Record is set.
func (h *Host) TraceFile() string { return h.cluster.filePath(h.Name + ".trace") }

// URL returns the base URL of the daemon's listener for callers.
func (h *Host) URL() string { return "http://" + h.Listen }

// Ready reports whether the daemon answers that it is ready.
func (h *Host) Ready() bool {
	resp, err := h.getFromOperators("/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Status returns the daemon's status and whether the daemon answered.
func (h *Host) Status() (wire.Status, bool) {
	var status wire.Status
	resp, err := h.getFromOperators("/status")
	if err != nil {
		return status, false
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&status)
	return status, err == nil && resp.StatusCode == http.StatusOK
}

// Metrics returns the daemon's metrics in the Prometheus text format, or "" when the daemon does not answer.
func (h *Host) Metrics() string {
	resp, err := h.getFromOperators("/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return string(data)
}

func (h *Host) getFromOperators(path string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+h.Operators+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorCredential)
	client := &http.Client{Transport: h.cluster.client.Transport, Timeout: 2 * time.Second}
	return client.Do(req)
}

// CutPeers cuts the connections between this daemon and the others, in both directions. Its outgoing connections can be
// distinguished from those of other daemons only when daemons dial from the IP of their peer listener.
func (h *Host) CutPeers() { h.forEachPeerLink((*Link).Cut) }

// RestorePeers undoes CutPeers.
func (h *Host) RestorePeers() { h.forEachPeerLink((*Link).Restore) }

func (h *Host) forEachPeerLink(do func(*Link)) {
	for _, link := range h.PeerLinks {
		do(link)
	}
	for _, other := range h.cluster.Hosts {
		if other != h {
			do(other.PeerLinks[h.Name])
		}
	}
}
