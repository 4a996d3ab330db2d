package main

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/trace"
	"github.com/figshift/figshift/internal/wire"
)

const (
	chaosQueue       = 20 // Limits.QueuePerDaemon
	chaosConcurrency = 2
	chaosEndpoints   = 3
	replayedPast     = 16 // events that may come a second time
	bootSteps        = 40
	stopSteps        = 20
	withdrawOneIn    = 20
)

// The hashes of two keys in force and of an unknown one.
var (
	northKey = "a1" + strings.Repeat("0", 62)
	southKey = "a2" + strings.Repeat("0", 62)
	otherKey = "a3" + strings.Repeat("0", 62)
)

// request is what the driver knows of one request.
type request struct {
	idempotent bool
	answers    int
	written    int // attempts that were let write
	unsure     bool
}

// chaos plays the outside of one daemon: a store that loses answers, endpoints that fail, peers that
// repeat themselves. It checks the invariants of requests after each step.
type chaos struct {
	t        *rapid.T
	d        *daemon
	now      time.Duration
	objects  map[string]wire.Object
	revision uint64
	calls    []event.Effect // object and endpoint calls without an answer
	attempts []event.StartAttempt
	sent     map[uint64]bool
	past     []event.Event
	requests map[uint64]*request
	next     uint64
	out      *trace.Writer
	ready    bool
	calm     bool // the store answers every call
}

func chaosSite() *config.Site {
	s := config.Defaults()
	s.Revision = 1
	s.Limits.QueuePerDaemon = chaosQueue
	s.Limits.ConcurrencyPerNode = chaosConcurrency
	s.Organisations["North"] = config.Organisation{Name: "North", Weight: 1}
	s.Organisations["South"] = config.Organisation{Name: "South", Weight: 3}
	s.Routes["lookup"] = config.Route{Name: "lookup", Prefix: "/lookup", Service: "lookup", Class: config.Interactive, Idempotent: true, Timeout: 5 * time.Second}
	s.Routes["write"] = config.Route{Name: "write", Prefix: "/write", Service: "lookup", Class: config.Background, Timeout: 5 * time.Second}
	s.Zones["a"] = config.DefaultZone("a")
	return s
}

func newChaos(t *rapid.T, d *daemon) *chaos {
	c := &chaos{t: t, d: d, now: time.Second, objects: map[string]wire.Object{}, sent: map[uint64]bool{}, requests: map[uint64]*request{}}
	c.write("Config/Site", chaosSite())
	shard := keys.Shard{Revision: 1, Keys: map[string]keys.Entry{
		northKey: {Organisation: "North", State: keys.Active, Revision: 1},
		southKey: {Organisation: "South", State: keys.Active, Revision: 1},
	}}
	c.write("Keys/a", shard)
	return c
}

func (c *chaos) write(name string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		c.t.Fatal(err)
	}
	c.revision++
	c.objects[name] = wire.Object{Name: name, Version: c.objects[name].Version + 1, Revision: c.revision, Value: text}
}

// step applies one event and follows its effects.
func (c *chaos) step(ev event.Event) {
	c.past = append(c.past, ev)
	if len(c.past) > replayedPast {
		c.past = c.past[1:]
	}
	effects := c.d.state.Step(c.now, ev)
	if c.out != nil {
		if err := c.out.Add(c.now, ev, effects); err != nil {
			c.t.Fatal(err)
		}
	}
	for _, e := range effects {
		c.follow(e)
	}
	c.check()
}

func (c *chaos) follow(effect event.Effect) {
	switch e := effect.(type) {
	case event.StartAttempt:
		c.attempts = append(c.attempts, e)
	case event.SendAttempt:
		c.send(e)
	case event.AnswerRequest:
		c.answer(e)
	case event.Ready:
		c.ready = e.Ready
	case event.GetObject, event.PutObject, event.ListObjects, event.WatchObjects, event.ListEndpoints:
		c.calls = append(c.calls, e)
	}
}

func (c *chaos) send(e event.SendAttempt) {
	c.sent[e.Attempt] = true
	r := c.requests[e.Request]
	if r == nil {
		c.t.Fatalf("attempt %d of no known request", e.Attempt)
	}
	if !r.idempotent && r.unsure {
		c.t.Fatalf("request %d is not idempotent and was sent again after an attempt that may have run", e.Request)
	}
	r.written++
}

func (c *chaos) answer(e event.AnswerRequest) {
	r := c.requests[e.Request]
	if r == nil {
		return // a sample's request, which the rollout part made
	}
	r.answers++
	if e.Kind != "" && kinds.Of(e.Kind).Run == kinds.NotRun && r.unsure && !r.idempotent {
		c.t.Fatalf("request %d is answered %s as not run, but an attempt may have run", e.Request, e.Kind)
	}
}

func (c *chaos) check() {
	open := 0
	for id, r := range c.requests {
		if r.answers > 1 {
			c.t.Fatalf("request %d has %d answers", id, r.answers)
		}
		if r.answers == 0 {
			open++
		}
	}
	if most := chaosQueue + chaosEndpoints*chaosConcurrency; open > most {
		c.t.Fatalf("%d requests are open, more than %d", open, most)
	}
}

func (c *chaos) arrive() {
	c.next++
	write := rapid.Bool().Draw(c.t, "write")
	ev := event.RequestArrived{
		Request:  c.next,
		KeyHash:  rapid.SampledFrom([]string{northKey, northKey, southKey, southKey, southKey, otherKey, ""}).Draw(c.t, "key"),
		Path:     "/lookup",
		Method:   "POST",
		Tokens:   rapid.IntRange(0, 5000).Draw(c.t, "tokens"),
		Deadline: c.now + time.Duration(rapid.IntRange(500, 9000).Draw(c.t, "deadline"))*time.Millisecond,
	}
	if write {
		ev.Path = "/write"
	}
	c.requests[c.next] = &request{idempotent: !write}
	c.step(ev)
}

// reply answers one outstanding call of the store; the answer may be lost, before or after its effect.
func (c *chaos) reply() {
	if len(c.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.calls)-1).Draw(c.t, "call")
	call := c.calls[i]
	c.calls = slices.Delete(c.calls, i, i+1)
	kind := kinds.Kind("")
	if !c.calm {
		kind = rapid.SampledFrom([]kinds.Kind{"", "", "", kinds.StoreUnavailable}).Draw(c.t, "kind")
	}
	switch e := call.(type) {
	case event.GetObject:
		c.step(c.done(e.Call, c.read(e.Name), kind))
	case event.PutObject:
		c.put(e, kind)
	case event.ListObjects:
		c.step(event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, Kind: kind, SentAt: c.now, List: c.list(e.Prefix, 0)})
	case event.WatchObjects:
		c.step(event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, Kind: kind, SentAt: c.now, List: c.list(e.Prefix, e.After)})
	case event.ListEndpoints:
		c.step(event.EndpointsDone{Call: e.Call, Kind: kind, SentAt: c.now, List: c.endpoints()})
	}
}

func (c *chaos) read(name string) wire.Object {
	if o, ok := c.objects[name]; ok {
		return o
	}
	return wire.Object{Name: name}
}

func (c *chaos) done(call event.ObjectCall, o wire.Object, kind kinds.Kind) event.ObjectDone {
	if kind == "" && o.Version == 0 {
		kind = kinds.NotFound
	}
	return event.ObjectDone{Call: call, Object: o, Kind: kind, SentAt: c.now}
}

func (c *chaos) put(e event.PutObject, kind kinds.Kind) {
	old := c.read(e.Name)
	took := kind == "" || rapid.Bool().Draw(c.t, "lost after effect")
	if took && old.Version == e.Version {
		c.revision++
		old = wire.Object{Name: e.Name, Version: e.Version + 1, Revision: c.revision, Writer: e.Writer, Value: e.Value}
		c.objects[e.Name] = old
	} else if kind == "" {
		kind = kinds.Conflict
	}
	c.step(event.ObjectDone{Call: e.Call, Object: old, Kind: kind, SentAt: c.now})
}

func (c *chaos) list(prefix string, after uint64) wire.ObjectList {
	l := wire.ObjectList{Revision: c.revision}
	for name, o := range c.objects {
		if strings.HasPrefix(name, prefix) && o.Revision > after {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b wire.Object) int { return strings.Compare(a.Name, b.Name) })
	return l
}

func (c *chaos) endpoints() wire.EndpointList {
	l := wire.EndpointList{Revision: c.revision}
	for _, name := range []string{"s1", "s2", "s3"} {
		state := rapid.SampledFrom([]wire.EndpointState{wire.Live, wire.Live, wire.Leaving}).Draw(c.t, "state")
		l.Endpoints = append(l.Endpoints, wire.Endpoint{Name: name, Incarnation: "1", Kind: wire.Service, Service: "lookup", Zone: "a", Address: name, State: state})
	}
	return l
}

// attempt moves one attempt on: connected, answered or ended, in any order and more than once.
func (c *chaos) attempt() {
	if len(c.attempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.attempts)-1).Draw(c.t, "attempt")
	a := c.attempts[i]
	switch rapid.IntRange(0, 2).Draw(c.t, "move") {
	case 0:
		c.step(event.AttemptConnected{Request: a.Request, Attempt: a.Attempt})
	case 1:
		c.step(event.AttemptHead{Request: a.Request, Attempt: a.Attempt, Status: 200, Load: rapid.IntRange(-1, 9000).Draw(c.t, "load")})
	case 2:
		c.attempts = slices.Delete(c.attempts, i, i+1)
		c.end(a)
	}
}

// ends are the truthful ways in which an attempt that was let write can end.
var ends = []event.AttemptDone{
	{Run: kinds.Ran, Whole: true, Status: 200},
	{Run: kinds.NotRun, Reason: event.ReasonRefused, Status: 503},
	{Run: kinds.NotRun, Reason: event.ReasonExpired},
	{Run: kinds.Unknown, Reason: event.ReasonBroken},
	{Run: kinds.Unknown, Reason: event.ReasonCut, Begun: true},
	{Run: kinds.Ran, Reason: event.ReasonStatus, Status: 500},
}

func (c *chaos) end(a event.StartAttempt) {
	ev := event.AttemptDone{Run: kinds.NotRun, Reason: event.ReasonDial}
	if c.sent[a.Attempt] {
		ev = rapid.SampledFrom(ends).Draw(c.t, "end")
	}
	ev.Request, ev.Attempt = a.Request, a.Attempt
	if ev.Run != kinds.NotRun && c.requests[a.Request] != nil {
		c.requests[a.Request].unsure = true
	}
	c.step(ev)
	if rapid.Bool().Draw(c.t, "twice") {
		c.step(ev)
	}
}

func (c *chaos) tick() {
	c.now += time.Duration(rapid.IntRange(1, 400).Draw(c.t, "ms")) * time.Millisecond
	c.step(event.Tick{})
}

func (c *chaos) repeat() {
	if len(c.past) > 0 {
		ev := rapid.SampledFrom(c.past).Draw(c.t, "past")
		if _, ok := ev.(event.RequestArrived); !ok {
			c.step(ev)
		}
	}
}

func (c *chaos) beat() {
	host := rapid.SampledFrom([]string{"h2", "h3"}).Draw(c.t, "peer")
	c.step(event.PeerUp{Host: host, Incarnation: "p"})
	b := wire.Beat{
		Seq:            rapid.Uint64Range(1, 50).Draw(c.t, "seq"),
		ConfigRevision: rapid.Uint64Range(0, 2).Draw(c.t, "config"),
		EvidenceAgeMS:  rapid.Int64Range(-1, 4000).Draw(c.t, "evidence"),
		OwnContactMS:   rapid.Int64Range(-1, 4000).Draw(c.t, "contact"),
		Served:         []wire.Served{{Organisation: "North", Tokens: rapid.Uint64().Draw(c.t, "served")}},
		Leaving:        []wire.LeaveMark{{Endpoint: "s1", Incarnation: "1"}},
		Duties:         []wire.DutyHeld{{Duty: "Usage", Epoch: rapid.Uint64Range(0, 9).Draw(c.t, "epoch")}},
	}
	c.step(event.PeerReceived{Host: host, Incarnation: "p", Message: wire.Message{Beat: &b}})
}

func (c *chaos) withdraw() {
	if rapid.IntRange(0, withdrawOneIn).Draw(c.t, "withdraw") > 0 {
		return
	}
	c.write("Keys/a", keys.Shard{Revision: c.revision + 1, Keys: map[string]keys.Entry{
		northKey: {Organisation: "North", State: keys.Withdrawn, Revision: 2},
		southKey: {Organisation: "South", State: keys.Active, Revision: 1},
	}})
}

// boot lets the daemon start until it takes requests.
func (c *chaos) boot() {
	c.calm = true
	for range bootSteps {
		c.now += tickEvery
		c.step(event.Tick{})
		for len(c.calls) > 0 {
			c.reply()
		}
	}
	if !c.ready {
		c.t.Fatalf("not ready after %d steps", bootSteps)
	}
	c.calm = false
}

func (c *chaos) run() {
	c.boot()
	actions := []func(){c.arrive, c.arrive, c.reply, c.reply, c.reply, c.attempt, c.attempt, c.tick, c.tick, c.repeat, c.beat, c.withdraw}
	steps := rapid.IntRange(20, 400).Draw(c.t, "steps")
	for range steps {
		actions[rapid.IntRange(0, len(actions)-1).Draw(c.t, "action")]()
	}
	if rapid.Bool().Draw(c.t, "stop") {
		c.step(event.StopAsked{})
	}
	for range stopSteps {
		actions[rapid.IntRange(0, len(actions)-1).Draw(c.t, "last action")]()
	}
}

// fixture makes a daemon that is composed but not run.
func fixture(t *testing.T) func(fail func(...any)) *daemon {
	folder := t.TempDir()
	secret := filepath.Join(folder, "secret")
	if err := os.WriteFile(secret, []byte("a secret of thirty-two characters"), 0o600); err != nil {
		t.Fatal(err)
	}
	process := config.Process{
		Host: "h1", Zone: "a", Listen: "127.0.0.1:0", Operators: "127.0.0.1:0", Peer: "127.0.0.1:0",
		Platform: "http://127.0.0.1:0", PeerSecretFile: secret, CredentialFile: secret,
	}
	return func(fail func(...any)) *daemon {
		d, err := newDaemon(process, identity{incarnation: "i", seed: 1}, io.Discard)
		if err != nil {
			fail(err)
		}
		return d
	}
}

func property(t *testing.T) func(*rapid.T) {
	daemonOf := fixture(t)
	return func(r *rapid.T) {
		d := daemonOf(r.Fatal)
		defer d.close()
		newChaos(r, d).run()
	}
}

func TestAnyOrderOfEventsKeepsTheInvariants(t *testing.T) {
	rapid.Check(t, property(t))
}

func FuzzReducer(f *testing.F) {
	f.Fuzz(func(t *testing.T, input []byte) {
		rapid.MakeFuzz(property(t))(t, input)
	})
}

func TestReplayGivesTheSameEffects(t *testing.T) {
	daemonOf := fixture(t)
	rapid.Check(t, func(r *rapid.T) {
		var file bytes.Buffer
		d := daemonOf(r.Fatal)
		defer d.close()
		c := newChaos(r, d)
		c.out = &trace.Writer{Out: &file}
		if err := c.out.Begin(trace.Header{Process: d.process, Incarnation: d.incarnation, Seed: d.seed}); err != nil {
			r.Fatal(err)
		}
		c.run()
		_, steps, err := trace.Read(&file)
		if err != nil {
			r.Fatal(err)
		}
		fresh := daemonOf(r.Fatal)
		defer fresh.close()
		if err := replay(fresh.state, steps); err != nil {
			r.Fatal(err)
		}
	})
}

func TestReplayNoticesAnotherEffect(t *testing.T) {
	d := fixture(t)(t.Fatal)
	defer d.close()
	steps := []trace.Step{{At: time.Second, Event: event.StopAsked{}, Effects: 1}}
	if err := replay(d.state, steps); err == nil {
		t.Error("replay took a step with other effects as the same")
	}
}
