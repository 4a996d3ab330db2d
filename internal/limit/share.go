package limit

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// savedSeconds and savedRequests bound what all hosts together have saved for an endpoint: its limit for savedSeconds,
	// and savedRequests more.
	savedSeconds  = 1.5
	savedRequests = 3
	// sendersSeconds and minSenders bound the hosts that share a limit: its requests of sendersSeconds, and minSenders more.
	sendersSeconds = 2
	minSenders     = 4
	// wantMargin is the ratio of what a host wants to what it has sent lately, and minWant what it wants besides, in requests
	// a second. Below minRate it wants nothing.
	wantMargin = 1.25
	minWant    = 0.05
	minRate    = 0.01
	// clearTime is the time within which a host wants to send what waits.
	clearTime = 4 * time.Second
	// newsTolerance is the time by which news must be newer than what is known, since news ages a little on its way.
	newsTolerance = 50 * time.Millisecond
	// liftNewsTime is the time for which the end of a limit is told to other hosts.
	liftNewsTime = 10 * time.Second
	// maxBeatAge is the age above which a heartbeat lifts no limit. Heartbeats wait while a host is paused; between hosts that
	// exchange few of them, what they echo is up to 2.4 s old.
	maxBeatAge = 3 * time.Second
)

// fleet is the hosts among which limits are shared.
type fleet struct {
	hosts []string // sorted
	hubs  []string // sorted; empty in a fleet in which all hosts hear each other
	lost  map[string]bool
}

func (f *fleet) setHosts(hosts []event.Host, hubs []string) {
	f.hosts, f.hubs = f.hosts[:0], hubs
	for _, h := range hosts {
		f.hosts = append(f.hosts, h.Name)
	}
	for host := range f.lost {
		if !slices.Contains(f.hosts, host) {
			delete(f.lost, host)
		}
	}
}

func (f *fleet) setLost(host string, lost bool) {
	if f.lost == nil {
		f.lost = map[string]bool{}
	}
	if lost {
		f.lost[host] = true
	} else {
		delete(f.lost, host)
	}
}

// candidates returns the hosts that may send to an endpoint with a limit. All of them hear each other: in a large fleet they
// are the hubs. A host that hears fewer than half of them is probably cut off itself and leaves the shares as they are.
func (f *fleet) candidates() []string {
	all := f.hosts
	if len(f.hubs) > 0 {
		all = f.hubs
	}
	alive := slices.DeleteFunc(slices.Clone(all), func(host string) bool { return f.lost[host] })
	if 2*len(alive) > len(all) {
		return alive
	}
	return all
}

// share is this host's share of a limit.
type share struct {
	perSecond float64
	senders   int // hosts that have a share
}

// maxSenders returns the greatest number of hosts among which a limit is shared. Each may have saved one request, and sends
// the question before it at the same time, so that more of them could exceed a low limit by sending what they have saved.
func (l *limit) maxSenders() int {
	return (int(sendersSeconds*l.perSecond) + minSenders) / l.atOnce
}

// share returns this host's share of a limit: what it wants, as far as the hosts that want more have no less.
func (p *Component) share(l *limit) share {
	candidates := p.fleet.candidates()
	switch {
	case len(p.fleet.hosts) == 0:
		return share{perSecond: l.perSecond, senders: 1} // a host that knows of no fleet is alone
	case !slices.Contains(candidates, p.Self):
		return share{}
	case l.wants.announcements < len(l.wants.announced):
		return share{perSecond: l.perSecond / float64(len(candidates)), senders: len(candidates)}
	case l.wants.own() == 0:
		return share{}
	}
	var senders []string
	for _, host := range candidates {
		if host == p.Self || l.wants.of(host) > 0 {
			senders = append(senders, host)
		}
	}
	senders = ranks.Top(l.endpoint.Endpoint, senders, l.maxSenders())
	if !slices.Contains(senders, p.Self) {
		return share{}
	}
	var others []float64
	for _, host := range senders {
		if host != p.Self {
			others = append(others, l.wants.of(host))
		}
	}
	return share{perSecond: fairShare(l.perSecond, l.wants.own(), others), senders: len(senders)}
}

// fairShare returns the share of a total for one that wants own while the others want others. While all together want less
// than the total, it is shared in proportion; otherwise by max-min fairness. The share grows with own and falls with each of
// the others, and the shares of all add up to the total.
func fairShare(total, own float64, others []float64) float64 {
	sum := own
	for _, want := range others {
		sum += want
	}
	if sum <= total {
		return total * own / sum
	}
	slices.Sort(others)
	left, n := total, len(others)+1
	for _, want := range others {
		if level := left / float64(n); want >= level || own <= want {
			return min(own, level)
		}
		left -= want
		n--
	}
	return min(own, left)
}

// updateBucket applies this host's share of a limit.
func (p *Component) updateBucket(now time.Duration, l *limit) {
	s := p.share(l)
	if s.senders == 0 {
		l.bucket.set(now, 0, 0)
		return
	}
	saved := savedSeconds*l.perSecond + savedRequests - float64(s.senders*l.atOnce)
	l.bucket.set(now, s.perSecond, 1+s.perSecond/l.perSecond*max(saved, 0))
}

// updateShares applies what has changed of the fleet or of the wants.
func (p *Component) updateShares(now time.Duration) {
	for _, l := range p.limits {
		if !l.lifted {
			p.updateBucket(now, l)
		}
	}
}

// FillBeat adds to a heartbeat the limits that this host knows and what it wants to send to their endpoints.
func (p *Component) FillBeat(now time.Duration, heartbeat *wire.Beat) {
	limits := p.sorted()
	if len(limits) == 0 {
		return
	}
	wants := p.wantsOfBacklogs(now, limits)
	for _, l := range limits {
		news := wire.EndpointLimit{
			Endpoint: l.endpoint.Endpoint, Incarnation: l.endpoint.Incarnation, PerSecond: l.perSecond, Lifted: l.lifted,
			AgeMS: (now - l.at).Milliseconds(),
		}
		if l.lifted && now-l.at > liftNewsTime {
			continue
		}
		if !l.lifted {
			news.Want = l.wants.announce(p.want(now, l, wants[l.endpoint]))
			news.Overdraft = l.overdraft
			l.payOverdraft(l.overdraft)
			l.overdraft = 0
		}
		heartbeat.Limits = append(heartbeat.Limits, news)
	}
	p.updateShares(now)
}

// want returns what this host wants to send to an endpoint per second: what waits, within clearTime, and more than it has
// sent lately, since requests don't come evenly.
func (p *Component) want(now time.Duration, l *limit, waiting float64) float64 {
	rate := waiting / clearTime.Seconds()
	if sent := p.sent[l.endpoint]; sent != nil {
		rate += wantMargin * sent.PerSecond(now)
	}
	if rate < minRate {
		return 0
	}
	return minWant + rate
}

// payOverdraft takes this host's part of requests that were sent beyond the shares.
func (l *limit) payOverdraft(requests int) {
	l.bucket.left -= float64(requests) * l.bucket.rate / l.perSecond
}

// wantsOfBacklogs returns what the backlogs want to send to each limited endpoint.
func (p *Component) wantsOfBacklogs(now time.Duration, limits []*limit) map[wire.LeaveMark]float64 {
	wants := map[wire.LeaveMark]float64{}
	for _, l := range limits {
		wants[l.endpoint] = 0
	}
	for _, b := range p.Backlogs {
		b.AddWants(now, wants)
	}
	return wants
}

// handleHeartbeat applies what another host tells of limits.
func (p *Component) handleHeartbeat(now time.Duration, e event.BeatSeen, out *event.Batch) {
	p.startup.hear(e.Host)
	wasLost := p.fleet.lost[e.Host]
	p.fleet.setLost(e.Host, false)
	waited := e.Anchored && now-e.Anchor > maxBeatAge
	for _, news := range e.Beat.Limits {
		if waited && news.Lifted {
			continue // its age is not known; it is told for liftNewsTime
		}
		p.handleNews(now, e.Host, news, out)
	}
	if wasLost || len(e.Beat.Limits) > 0 {
		p.updateShares(now)
	}
}

func (p *Component) handleNews(now time.Duration, host string, news wire.EndpointLimit, out *event.Batch) {
	id := wire.LeaveMark{Endpoint: news.Endpoint, Incarnation: news.Incarnation}
	at := now - time.Duration(news.AgeMS)*time.Millisecond
	l := p.limits[id]
	newer := l == nil || at > l.at+newsTolerance
	switch {
	case newer && !news.Lifted:
		p.name(now, at, id, news.PerSecond, out)
	case newer && l != nil && !l.lifted:
		p.lift(now, at, l, out)
	}
	if l = p.limits[id]; l != nil && !l.lifted && !news.Lifted {
		l.wants.hear(host, news.Want)
		l.payOverdraft(news.Overdraft)
	}
}
