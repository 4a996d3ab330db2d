// Package rig is a small deployment for the cases of this review: the platform's store and interface for duties, model
// servers, servers of a plain service and clients, all on loopback addresses in one process, and the project's daemons as
// processes of their own, started by the command of the deploy file.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	Host    = "site.example"
	Key     = "key-of-north-1"
	Tenant  = "north"
	Model   = "draft"
	Drafts  = "/drafts/" // route of batch jobs
	Scores  = "/scores/" // route of reward calls
	Lookups = "/lookups/"
	engines = "draft-models"
	plain   = "records-app"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	Unplayed  = 2
	startWait = 30 * time.Second
	longest   = 100 * time.Second // of a case
)

// Estate is the deployment of one case.
type Estate struct {
	Store   *Store
	Servers []*Server
	Fronts  []*Front
	// Names are those of the hosts that take callers, those of the hosts with a disk come after them; nil for a default.
	Names []string
	// Silent reports whether the store gives a host no answers now; nil for never.
	Silent func(host string) bool
	Extra  []any // routes beside the usual ones, in the first configuration
	// Restart is the time from the end of a daemon's process to the start of the next one.
	Restart time.Duration

	folder string
	all    []*Front // with the hosts that have a disk
	over   atomic.Bool
	record *os.File
	begun  time.Time
	mu     sync.Mutex
	runs   []*Run
	listed map[string]time.Time // when a host last listed a kind
	ports  int
}

// Front is one daemon that takes callers.
type Front struct {
	Name, IP string

	e        *Estate
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	misses   int
}

// New makes the folder of the deployment and the record of the case.
func New() (*Estate, error) {
	folder, err := os.MkdirTemp("", "figshift-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	e := &Estate{Store: NewStore(), folder: folder, record: record, begun: time.Now(), listed: map[string]time.Time{}, Restart: 500 * time.Millisecond}
	go e.endEarly()
	return e, nil
}

// endEarly ends the case with all its processes when it is told to stop, and when it takes too long.
func (e *Estate) endEarly() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-told:
		e.Finish(Unplayed, "not played: %v", s)
	case <-time.After(longest):
		e.Finish(Unplayed, "not played: not done after %v", longest)
	}
}

// Note writes a line to the record.
func (e *Estate) Note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(e.record, "%8.3f ", time.Since(e.begun).Seconds())
	_, _ = fmt.Fprintf(e.record, format+"\n", args...)
}

// Runs returns the runs of a request, in the order in which they began.
func (e *Estate) Runs(id string) []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var runs []Run
	for _, r := range e.runs {
		if r.ID == id {
			runs = append(runs, *r)
		}
	}
	return runs
}

func (e *Estate) began(r *Run) {
	e.mu.Lock()
	e.runs = append(e.runs, r)
	r.Number = uint64(len(e.runs))
	e.mu.Unlock()
	e.Note("server %s begins %s after event %d", r.Server, r.ID, r.From)
}

func (e *Estate) ended(r *Run, finished bool) {
	e.mu.Lock()
	r.End, r.Finished = time.Now(), finished
	e.mu.Unlock()
	e.Note("server %s ends %s, finished: %v", r.Server, r.ID, finished)
}

// Start starts the platform, its servers and the daemons, and waits until all daemons are ready. The servers' fields are
// set before.
func (e *Estate) Start(fronts, stores int) error {
	e.Configure(7, e.Extra...)
	for i, s := range e.Servers {
		s.Began, s.Ended = e.began, e.ended
		if err := s.Start(fmt.Sprintf("127.77.2.%d", i+1), e.Store); err != nil {
			return err
		}
	}
	command, template, err := deployed()
	if err != nil {
		return err
	}
	for i := range fronts + stores {
		f := &Front{Name: fmt.Sprintf("front-zone-%d-%d", i%3+1, i/3+1), IP: fmt.Sprintf("127.77.1.%d", i+1), e: e}
		if i >= fronts {
			f.Name = fmt.Sprintf("store-zone-%d-1", i-fronts+1)
		}
		if i < len(e.Names) {
			f.Name = e.Names[i]
		}
		if i == 0 {
			if e.ports, err = freePorts(f.IP); err != nil {
				return err
			}
		}
		platform, err := e.servePlatform(f.Name, fmt.Sprintf("127.77.3.%d", i+1))
		if err != nil {
			return err
		}
		settings := func(first bool) error { return f.writeSettings(template, i < fronts, platform, first) }
		if err := settings(true); err != nil {
			return err
		}
		if err := f.Run(command); err != nil {
			return err
		}
		time.AfterFunc(startWait/10, func() { _ = settings(false) }) // the first start is over
		e.all = append(e.all, f)
		if i < fronts {
			e.Fronts = append(e.Fronts, f)
		}
	}
	go e.askReadiness()
	for deadline := time.Now().Add(startWait); ; time.Sleep(100 * time.Millisecond) {
		if len(e.rotation()) == fronts {
			return nil
		}
		if time.Now().After(deadline) {
			for _, f := range e.Fronts {
				e.Note("%s, misses %d: %v", f.Name, f.misses, f.Log("Event=Readiness"))
			}
			return fmt.Errorf("the daemons aren't ready")
		}
	}
}

// Readers returns the hosts that have listed the objects of a kind within the last three seconds.
func (e *Estate) Readers(kind string) map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	readers := map[string]bool{}
	for _, f := range e.Fronts {
		if at, ok := e.listed[kind+" "+f.Name]; ok && time.Since(at) < 3*time.Second {
			readers[f.Name] = true
		}
	}
	return readers
}

// servePlatform serves the platform at an address for one host, so that the host is known in a call, and returns the address.
func (e *Estate) servePlatform(host, ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/objects/", func(w http.ResponseWriter, r *http.Request) {
		kind := strings.TrimPrefix(r.URL.Path, "/api/objects/")
		if r.Method == http.MethodGet && !strings.Contains(kind, "/") && !r.URL.Query().Has("watch") {
			e.mu.Lock()
			e.listed[kind+" "+host] = time.Now()
			e.mu.Unlock()
		}
		quiet := &quietWriter{ResponseWriter: w, r: r, silent: func() bool { return e.Silent != nil && e.Silent(host) }}
		quiet.wait()
		e.Store.ServeHTTP(quiet, r)
	})
	mux.HandleFunc("/usage", e.duty)
	mux.HandleFunc("/scale", e.duty)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// quietWriter writes nothing any more once the host gets no answers.
type quietWriter struct {
	http.ResponseWriter
	r      *http.Request
	silent func() bool
}

func (q *quietWriter) wait() {
	if q.silent() {
		<-q.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// WriteHeader writes the head unless the host gets no answers.
func (q *quietWriter) WriteHeader(status int) {
	q.wait()
	q.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body unless the host gets no answers.
func (q *quietWriter) Write(p []byte) (int, error) {
	q.wait()
	return q.ResponseWriter.Write(p)
}

// Configure writes a version of the configuration, with some routes beside the usual ones.
func (e *Estate) Configure(version int, extra ...any) {
	route := func(name, prefix, kind, service string, priority, timeout, target, attempts int, public bool) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "path_prefix": prefix, "kind": kind, "service": service, "priority": priority, "timeout_ms": timeout,
			"target_latency_ms": target, "max_attempts": attempts, "public": public,
		}
	}
	drafts := route("drafts", Drafts, "rollout", engines, 1, 10000, 400, 3, false)
	drafts["run_deadline_ms"], drafts["max_queue_s"], drafts["single_version"] = 7500, 20, false
	e.Store.Put("config", "main", map[string]any{
		"version": version,
		"routes": append([]any{
			drafts, route("scores", Scores, "safe", plain, 2, 3000, 800, 4, true), route("lookups", Lookups, "safe", plain, 2, 1500, 150, 2, false),
		}, extra...),
		"services": []any{
			map[string]any{"name": engines, "health_path": "/healthz", "max_conns": 140, "engine": map[string]any{"slots": 8, "models": []any{map[string]any{"name": Model}}}},
			map[string]any{"name": plain, "health_path": "/healthz", "max_conns": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "api_keys": []string{Key}, "priority": 1}},
	})
}

// ExtraRoute is a further route to the plain service.
func ExtraRoute(name, prefix string) any {
	return map[string]any{
		"name": name, "host": Host, "path_prefix": prefix, "kind": "safe", "service": plain, "priority": 2, "timeout_ms": 1500,
		"target_latency_ms": 150, "max_attempts": 2, "public": false,
	}
}

// duty takes a call of a duty.
func (e *Estate) duty(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.Note("duty %s by %s, fence %s: %s", r.URL.Path, r.Header.Get("Figshift-Duty-Holder"), r.Header.Get("Figshift-Fence-Token"), body)
	w.WriteHeader(http.StatusOK)
}

// deployed returns the command and the template of the role "front" in the deploy file.
func deployed() (command []string, template string, err error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", err
	}
	_, role, _ := strings.Cut(string(text), "[roles.front]")
	role, _, _ = strings.Cut(role, "\n[")
	value := func(key string) string {
		found := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindStringSubmatch(role)
		if found == nil {
			return ""
		}
		return found[1]
	}
	settings, err := os.ReadFile(value("template"))
	return strings.Fields(value("run")), string(settings), err
}

// freePorts returns the first of 21 ports that are free.
func freePorts(ip string) (int, error) {
	for range 50 {
		first := 20000 + rand.IntN(10000) // below the ports that the system gives to connections
		free := true
		for p := first; p < first+21; p++ {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// writeSettings fills in the template as the platform does.
func (f *Front) writeSettings(template string, front bool, platform string, first bool) error {
	zone := strings.Join(strings.Split(f.Name, "-")[1:3], "-")
	port := func(n int) string { return strconv.Itoa(f.e.ports + n) }
	values := map[string]string{
		"node": f.Name, "zone": zone, "machine_class": "front", "ip": f.IP, "listen.front": f.IP + ":" + port(0), "listen.ready": f.IP + ":" + port(1),
		"internal_ports": port(2) + "," + port(17), "platform.address": platform, "cloud.address": platform, "limits.memory_mb": "284",
		"limits.cpu_share": "0.4", "limits.cores": "1", "bootstrap": strconv.FormatBool(first), "bounds.grace_s": "8", "bounds.lease_ms": "3000",
		"bounds.usage_window_s": "5", "bounds.usage_late_s": "10", "bounds.status_s": "120", "bounds.settle_ms": "1000",
	}
	if !front {
		values["machine_class"], values["listen.front"], values["listen.ready"] = "store", "", ""
	}
	text := regexp.MustCompile(`{{([a-z_.]+)}}`).ReplaceAllStringFunc(template, func(m string) string { return values[strings.Trim(m, "{}")] })
	text = strings.Replace(text, "MetricsPort = 9100", "MetricsPort = "+port(18), 1) // another program may have that one here
	// The daemons of a deployment know each other by the address of the store, which here is another one for each of them.
	text += "Deployment = review\n"
	f.settings = filepath.Join(f.e.folder, f.Name+".ini")
	return replaceFile(f.settings, text)
}

func replaceFile(name, text string) error {
	if err := os.WriteFile(name+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// Run starts the daemon's process, and again whenever it has ended, until the case is over.
func (f *Front) Run(command []string) error {
	log, err := os.Create(filepath.Join(f.e.folder, f.Name+".log"))
	if err != nil {
		return err
	}
	start := func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		cmd := exec.Command(command[0], command[1:]...)
		cmd.Env = []string{"FIGSHIFT_BOOT=" + f.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return err
		}
		f.cmd, f.exited = cmd, make(chan struct{})
		return nil
	}
	if err := start(); err != nil {
		return err
	}
	go func() {
		for {
			err := f.cmd.Wait()
			f.e.Note("process %s ended: %v", f.Name, err)
			close(f.exited)
			time.Sleep(f.e.Restart)
			if f.e.over.Load() || start() != nil {
				return
			}
			f.e.Note("process %s started", f.Name)
		}
	}()
	return nil
}

// Signal sends a signal to the daemon's process.
func (f *Front) Signal(s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.e.Note("signal %v to %s", s, f.Name)
	_ = f.cmd.Process.Signal(s)
}

// kill ends the daemon's process and waits for its end.
func (f *Front) kill() {
	f.mu.Lock()
	exited := f.exited
	_ = f.cmd.Process.Kill()
	f.mu.Unlock()
	<-exited
}

// Terminate stops the daemon as the platform does: by SIGTERM, and by SIGKILL when the time of grace is over.
func (f *Front) Terminate() {
	const grace = 8 * time.Second
	f.Signal(syscall.SIGTERM)
	f.mu.Lock()
	exited := f.exited
	f.mu.Unlock()
	go func() {
		select {
		case <-exited:
		case <-time.After(grace):
			f.Signal(syscall.SIGKILL)
		}
	}()
}

// Log returns the lines that the daemon has written and that contain a text.
func (f *Front) Log(text string) []string {
	data, _ := os.ReadFile(filepath.Join(f.e.folder, f.Name+".log"))
	var lines []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// askReadiness asks each daemon once a second whether it is ready, as the platform does.
func (e *Estate) askReadiness() {
	client := &http.Client{Timeout: time.Second}
	for {
		for _, f := range e.Fronts {
			go func() {
				resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", f.IP, e.ports+1))
				f.mu.Lock()
				defer f.mu.Unlock()
				if err != nil || resp.StatusCode != http.StatusOK {
					f.misses++
				} else {
					f.misses = 0
				}
				if err == nil {
					_ = resp.Body.Close()
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// rotation returns the daemons that get new connections.
func (e *Estate) rotation() []*Front {
	var all []*Front
	for _, f := range e.Fronts {
		f.mu.Lock()
		if f.misses < 2 && f.cmd != nil && len(f.ready()) > 0 {
			all = append(all, f)
		}
		f.mu.Unlock()
	}
	return all
}

// ready returns "ready" once the daemon has said so.
func (f *Front) ready() string {
	if len(f.Log("Event=Readiness")) == 0 {
		return ""
	}
	return "ready"
}

// Call makes a call to a daemon in rotation, on a new connection, and returns the status and the body; status 0 for no
// answer.
func (e *Estate) Call(method, path string, header map[string]string, body []byte, timeout time.Duration) (status int, answer []byte) {
	fronts := e.rotation()
	if len(fronts) == 0 {
		return 0, nil
	}
	return e.CallAt(fronts[rand.IntN(len(fronts))], method, path, header, body, timeout)
}

// CallAt makes a call to a daemon.
func (e *Estate) CallAt(f *Front, method, path string, header map[string]string, body []byte, timeout time.Duration) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", f.IP, e.ports, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = Host
	req.Header.Set("Authorization", "Bearer "+Key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// Finish stops all processes, writes the verdict and ends the case.
func (e *Estate) Finish(code int, format string, args ...any) {
	e.over.Store(true)
	for _, f := range e.all {
		f.kill()
		if len(f.Log("panic")) > 0 {
			e.Note("log of %s: %v", f.Name, f.Log("panic")[:1])
		}
	}
	e.Note(format, args...)
	fmt.Printf(format+"\n", args...)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.folder)
	} else {
		fmt.Println(e.folder)
	}
	os.Exit(code)
}

// AddServers adds the servers of a small deployment: eight model servers and five of the plain service.
func (e *Estate) AddServers(gap, work time.Duration, eventsOf func(id string) int) {
	for i := range 8 {
		e.Servers = append(e.Servers, &Server{
			Name: fmt.Sprintf("i-engine%d", i+1), Service: engines, Zone: fmt.Sprintf("zone-%d", i%3+1), Model: Model, Slots: 8, Gap: gap, EventsOf: eventsOf,
		})
	}
	for i := range 5 {
		e.Servers = append(e.Servers, &Server{Name: fmt.Sprintf("i-plain%d", i+1), Service: plain, Zone: fmt.Sprintf("zone-%d", i%3+1), Slots: 6, Work: work})
	}
}

// Item is one request of a batch job.
type Item struct {
	ID, Group, Reward string
}

// Step is a batch job of a trainer.
type Step struct {
	ID         string
	Number     int
	MinVersion int
	Target     int // groups that the trainer waits for
	Items      []Item
	Submitted  time.Time // when it was first sent
	Results    map[string]Result
	next       int
}

// Result is an item's result.
type Result struct {
	ID, State, Text, Score string
	Versions               []uint64
}

// NewStep returns a step of some groups of some items, of which the trainer waits for nine tenths.
func NewStep(number, groups, size int) *Step {
	s := &Step{ID: fmt.Sprintf("job%d-%08x", number, rand.Uint32()), Number: number, MinVersion: max(number-1, 1), Target: (groups*9 + 9) / 10, Results: map[string]Result{}}
	for g := range groups {
		for i := range size {
			id := fmt.Sprintf("item%d-%02d-%d", number, g, i)
			s.Items = append(s.Items, Item{ID: id, Group: fmt.Sprintf("group%d-%d", number, g), Reward: "reward-" + id})
		}
	}
	return s
}

func (s *Step) body() []byte {
	var items []map[string]any
	for _, it := range s.Items {
		items = append(items, map[string]any{
			"id": it.ID, "path": Drafts + it.ID, "body": []byte("prompt of " + it.ID), "tokens": 1200, "group": it.Group,
			"headers":    map[string]string{"Figshift-Model": Model, "Figshift-Token-Usage": "1016,200", "Figshift-Prompt-Prefix": "9c2e41:1000,5d07b8:16"},
			"scorer_url": map[string]any{"id": it.Reward, "host": Host, "path": Scores + it.ID, "body": []byte("score " + it.ID)},
		})
	}
	text, err := json.Marshal(map[string]any{"step": s.Number, "model": Model, "min_version": s.MinVersion, "target_groups": s.Target, "items": items})
	if err != nil {
		panic(err) // a mistake in the rig
	}
	return text
}

// Submit submits a step until a daemon accepts it, and reports whether one did.
func (e *Estate) Submit(s *Step) bool {
	s.Submitted = time.Now()
	for range 8 {
		status, _ := e.Call(http.MethodPost, Drafts+s.ID, map[string]string{"Figshift-Attempt-Id": s.ID, "Content-Type": "application/json"}, s.body(), 6*time.Second)
		e.Note("submission of %s: %d", s.ID, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// Read reads a step's further results.
func (e *Estate) Read(s *Step) {
	status, body := e.Call(http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", s.ID, s.next), map[string]string{"Figshift-Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
	var page struct {
		Total, Next int
		Results     []Result
		NextToken   int `json:"next_token"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &page) != nil {
		e.Note("read of %s after %d: %d", s.ID, s.next, status)
		return
	}
	for _, r := range page.Results {
		s.Results[r.ID] = r
		e.Note("result %d of %s: %s %s versions %v score %s", s.next, s.ID, r.ID, r.State, r.Versions, r.Score)
		s.next++
	}
}

// WholeGroups returns the number of groups of which all items are listed.
func (s *Step) WholeGroups() int {
	left := map[string]int{}
	for _, it := range s.Items {
		left[it.Group] += 0
		if _, ok := s.Results[it.ID]; !ok {
			left[it.Group]++
		}
	}
	whole := 0
	for _, n := range left {
		if n == 0 {
			whole++
		}
	}
	return whole
}

// Await reads a step about twice a second until the trainer has the groups that it waits for, which it reports, or until
// limit after the submission.
func (e *Estate) Await(s *Step, limit time.Duration) bool {
	for time.Since(s.Submitted) < limit {
		e.Read(s)
		if s.WholeGroups() >= s.Target {
			return true
		}
		time.Sleep(min(450*time.Millisecond, max(0, limit-time.Since(s.Submitted))))
	}
	return false
}

// End ends a step and reports whether the end was acknowledged.
func (e *Estate) End(s *Step) bool {
	for range 8 {
		status, _ := e.Call(http.MethodDelete, "/api/lots/"+s.ID, nil, nil, 5*time.Second)
		e.Note("end of %s: %d", s.ID, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// Name names a version of the weights.
func (e *Estate) Name(version int) {
	e.Note("version %d is named", version)
	e.Store.Put("versions", Model, map[string]any{"model": Model, "version": version})
}

// Owner returns the daemon that runs a step, by its log.
func (e *Estate) Owner(s *Step) *Front {
	for _, f := range e.Fronts {
		for _, line := range f.Log("Event=JobKept") {
			if strings.Contains(line, "Job="+s.ID+" ") && strings.Contains(line, "Kind= ") {
				return f
			}
		}
	}
	return nil
}
