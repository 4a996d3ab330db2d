package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a server's entry.
const heartbeat = 1200 * time.Millisecond

// server is a server of the platform: an engine when it has a model, else a plain one. Its exported fields are set before
// start.
type server struct {
	ID       string
	Service  string
	Zone     string
	Model    string
	Slots    int
	Events   int           // of a stream
	EventGap time.Duration // between two events
	LoadTime time.Duration // of a version
	// Answer returns the status of an item, 200 for a stream.
	Answer func(id string) int
	// Twice reports whether an answer comes a second time, late: where the next answer on the connection is expected.
	Twice func(status int) bool
	// Unanswered returns whether an order gets no answer, and how much later it is carried out.
	Unanswered func(engine string) (later time.Duration, unanswered bool)

	r       *rig
	store   *store
	address string
	born    int64

	mu       sync.Mutex
	beats    int
	version  int
	accepted int // orders
	busy     bool
	running  int
	answers  map[string][]int // statuses given, by id
	runs     map[string]int   // begun, by id
	orders   []arrivedOrder
	lastRun  time.Duration // when a run last began or ended
	begunAt  []time.Duration
}

type arrivedOrder struct {
	At      time.Duration
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence_token"`
	Version int    `json:"version"`
	Expect  *int   `json:"expected"`
}

func (r *rig) startServer(s *server, st *store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.r, s.store, s.address, s.born, s.version = r, st, listener.Addr().String(), time.Now().UnixMilli(), 1
	s.answers, s.runs = map[string][]int{}, map[string]int{}
	s.register()
	go func() {
		for range time.Tick(heartbeat) {
			s.register()
		}
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return nil
}

func (s *server) register() {
	s.mu.Lock()
	s.beats++
	entry := map[string]any{
		"service": s.Service, "address": s.address, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": "ready", "cold_left_ms": 0,
		"sequence": s.beats, "born": s.born,
	}
	if s.Model != "" {
		entry["stage"], entry["models"] = "hybrid", s.models()
	}
	s.mu.Unlock()
	s.store.put("servers", s.ID, entry)
}

func (s *server) models() []map[string]any {
	return []map[string]any{{"name": s.Model, "version": s.version, "adapters": []string{}}}
}

// serve serves one connection, one request at a time.
func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, late := bufio.NewReader(conn), ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != "" {
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		var ok bool
		if late, ok = s.handle(conn, req, body); !ok {
			return
		}
	}
}

// handle answers a request. It returns what comes late on the connection, and false when the connection ends.
func (s *server) handle(conn net.Conn, req *http.Request, body []byte) (late string, ok bool) {
	id := req.Header.Get("Figshift-Attempt-Id")
	if expected := req.Header.Get("Figshift-Expect-Instance"); expected != "" && expected != s.ID {
		return "", s.respond(conn, id, http.StatusMisdirectedRequest, "Figshift-Not-Run: 1\r\n", "")
	}
	switch req.URL.Path {
	case "/api/report":
		return "", s.respond(conn, "", http.StatusOK, "Content-Type: application/json\r\n", s.report())
	case "/api/order":
		return "", s.takeOrder(conn, body)
	}
	if !s.begin(id, req) {
		return "", s.respond(conn, id, http.StatusServiceUnavailable, "Figshift-Not-Run: 1\r\n", "")
	}
	defer s.end()
	status := http.StatusOK
	if s.Answer != nil {
		status = s.Answer(id)
	}
	s.mu.Lock()
	s.answers[id] = append(s.answers[id], status)
	s.mu.Unlock()
	s.r.record("%s answers %s with %d", s.ID, id, status)
	stamp := fmt.Sprintf("Figshift-Response-Stamp: %s.%s\r\n", s.ID, id)
	if s.Twice != nil && s.Twice(status) {
		s.r.record("%s will answer %s a second time, late", s.ID, id)
		late = head(id, status, stamp, 0)
	}
	if status == http.StatusOK && s.Model != "" {
		return late, s.stream(conn, id, stamp, req.Header.Get("Last-Event-Id"))
	}
	return late, s.respond(conn, id, status, stamp, "")
}

func head(id string, status int, fields string, length int) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n", status, http.StatusText(status), fields, length)
	if id != "" {
		text += "Figshift-Attempt-Id: " + id + "\r\n"
	}
	return text + "\r\n"
}

func (s *server) respond(conn net.Conn, id string, status int, fields, body string) bool {
	_, err := io.WriteString(conn, head(id, status, fields, len(body))+body)
	return err == nil
}

func (s *server) begin(id string, req *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.Slots {
		return false
	}
	s.running++
	s.runs[id]++
	s.lastRun = s.r.now()
	s.begunAt = append(s.begunAt, s.lastRun)
	s.r.record("%s runs %s %s for tenant %q from event %q", s.ID, id, req.URL.Path, req.Header.Get("Figshift-Tenant"), req.Header.Get("Last-Event-Id"))
	return true
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.lastRun = s.r.now()
}

// stream sends the events of an item after the last one that the caller has.
func (s *server) stream(conn net.Conn, id, stamp, last string) bool {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sFigshift-Attempt-Id: %s\r\nContent-Type: text/event-stream\r\nFigshift-Weight-Versions: %d\r\nTransfer-Encoding: chunked\r\n\r\n", stamp, id, version)
	from, _ := strconv.Atoi(last)
	for n := from + 1; n <= s.Events && err == nil; n++ {
		time.Sleep(s.EventGap)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventOf(id, n))
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}

func eventOf(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

func (s *server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, _ := json.Marshal(map[string]any{
		"stage": "hybrid", "models": s.models(), "busy": s.busy, "sequence": s.accepted, "waiting": 0, "running": s.running, "kv_used": 0, "kv_total": 90000,
		"handles": 0, "born": s.born,
	})
	return string(data)
}

// takeOrder takes an order to load a version. No fencing token is checked.
func (s *server) takeOrder(conn net.Conn, body []byte) bool {
	var o arrivedOrder
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 {
		return s.respond(conn, "", http.StatusBadRequest, "", "")
	}
	o.At = s.r.now()
	s.mu.Lock()
	s.orders = append(s.orders, o)
	s.mu.Unlock()
	if s.Unanswered != nil {
		if later, unanswered := s.Unanswered(s.ID); unanswered {
			s.r.record("%s gets an order of %s with fence %d for version %d: no answer, carried out %v later", s.ID, o.Holder, o.Fence, o.Version, later)
			time.AfterFunc(later, func() { s.carryOut(o) })
			time.Sleep(later)
			return false
		}
	}
	status := s.carryOut(o)
	s.r.record("%s gets an order of %s with fence %d for version %d: %d", s.ID, o.Holder, o.Fence, o.Version, status)
	return s.respond(conn, "", status, "", "")
}

func (s *server) carryOut(o arrivedOrder) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.version >= o.Version:
		return http.StatusOK
	case s.busy, o.Expect != nil && *o.Expect != s.accepted:
		return http.StatusConflict
	}
	s.busy = true
	s.accepted++
	time.AfterFunc(s.LoadTime, func() {
		s.mu.Lock()
		s.busy, s.version = false, o.Version
		s.mu.Unlock()
		s.register()
	})
	return http.StatusAccepted
}
