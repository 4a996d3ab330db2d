package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds in the settings, as in the site files.
const (
	contact = 3 * time.Second
	settle  = time.Second
	apiKey  = "key-of-north"
	host    = "site.example"
)

// bed is the system under test with its stand-ins. Everything listens on loopback addresses.
type bed struct {
	root    string // of the repository
	folder  string // temporary
	trouble bool
	started time.Time
	store   *objectStore
	servers []*server
	daemons []*daemon
	port    int

	mu   sync.Mutex
	file *os.File
}

// daemon is one process of figd.
type daemon struct {
	bed      *bed
	name     string
	ip       string
	settings string
	cmd      *exec.Cmd
}

func newBed() *bed {
	root := os.Getenv("ROOT")
	b := &bed{root: root, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), store: newStore()}
	var err error
	if b.file, err = os.Create(os.Getenv("RECORD")); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	if b.folder, err = os.MkdirTemp("", "figshift-review"); err != nil {
		b.giveUp("%v", err)
	}
	return b
}

// record writes a line with the seconds since the start.
func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.file, "%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// giveUp ends the case as one that couldn't run.
func (b *bed) giveUp(format string, args ...any) {
	b.record("the case can't run: "+format, args...)
	fmt.Printf("the case can't run: "+format+"\n", args...)
	b.close()
	os.Exit(2)
}

// verdict ends the case: with 1 if the rule was broken.
func (b *bed) verdict(broken []string) {
	b.close()
	for _, line := range broken {
		b.record("BROKEN   %s", line)
	}
	if len(broken) == 0 {
		b.record("the rule held")
		fmt.Println("the rule held")
		os.Exit(0)
	}
	fmt.Printf("the rule was broken %d times, first: %s\n", len(broken), broken[0])
	os.Exit(1)
}

func (b *bed) close() {
	for _, d := range b.daemons {
		d.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	}
}

// listenStore starts the store and the platform's other interface.
func (b *bed) listenStore() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.giveUp("listening: %v", err)
	}
	go func() { _ = (&http.Server{Handler: b.store}).Serve(listener) }()
	return listener.Addr().String()
}

// startDaemons starts figd on n front machines in n zones, with the template and the command of the deploy file.
func (b *bed) startDaemons(n int, more map[string]string) {
	storeAddress := b.listenStore()
	template, err := os.ReadFile(filepath.Join(b.root, "deploy", "figd.ini"))
	if err != nil {
		b.giveUp("%v", err)
	}
	b.port = b.freePorts(n)
	for i := range n {
		ip := machineIP(i)
		at := func(offset int) string { return net.JoinHostPort(ip, strconv.Itoa(b.port+offset)) }
		fields := map[string]string{
			"node": fmt.Sprintf("front-%d", i+1), "zone": fmt.Sprintf("zone-%d", i+1), "machine_class": "front", "ip": ip, "listen.front": at(0), "listen.ready": at(1),
			"internal_ports": fmt.Sprintf("%d,%d", b.port+3, b.port+8), "platform.address": storeAddress, "platform.value_bytes": "1048576", "cloud.address": storeAddress,
			"limits.memory_mb": "284", "limits.max_fds": "4100", "limits.cpu_share": "0.4", "limits.cores": "1", "bootstrap": "true", "bounds.grace_s": "8",
			"bounds.lease_ms": "3000", "bounds.usage_window_s": "5", "bounds.usage_late_s": "10", "bounds.status_s": "120", "bounds.config_apply_ms": "2000",
			"bounds.settle_ms": "1000",
		}
		for k, v := range more {
			fields[k] = v
		}
		text := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(template), func(field string) string {
			return fields[strings.Trim(field, "{}")]
		})
		text = strings.Replace(text, "MetricsPort = 9100", fmt.Sprintf("MetricsPort = %d", b.port+2), 1) // a free port
		d := &daemon{bed: b, name: fields["node"], ip: ip, settings: filepath.Join(b.folder, fields["node"]+".ini")}
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			b.giveUp("%v", err)
		}
		b.daemons = append(b.daemons, d)
	}
	for _, d := range b.daemons {
		d.start()
	}
	for _, d := range b.daemons {
		d.awaitReady()
	}
}

func machineIP(i int) string { return fmt.Sprintf("127.0.52.%d", 11+i) }

// freePorts returns the first of ten ports that are free on each machine's address.
func (b *bed) freePorts(machines int) int {
	for port := 21000 + os.Getpid()%500*20; port < 60000; port += 20 {
		free := true
		for i := range machines {
			for offset := range 10 {
				listener, err := net.Listen("tcp", net.JoinHostPort(machineIP(i), strconv.Itoa(port+offset)))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return port
		}
	}
	b.giveUp("no free ports")
	return 0
}

func (d *daemon) address() string { return net.JoinHostPort(d.ip, strconv.Itoa(d.bed.port)) }

// restart starts the process again, with settings that say so.
func (d *daemon) restart() {
	text, err := os.ReadFile(d.settings)
	if err != nil {
		d.bed.giveUp("%v", err)
	}
	if err := os.WriteFile(d.settings, bytes.Replace(text, []byte("FirstStart = true"), []byte("FirstStart = false"), 1), 0o600); err != nil {
		d.bed.giveUp("%v", err)
	}
	d.start()
}

func (d *daemon) start() {
	log, err := os.OpenFile(filepath.Join(d.bed.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.bed.giveUp("%v", err)
	}
	d.cmd = exec.Command("target/figd", "platform")
	d.cmd.Dir = d.bed.root
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.bed.folder, "FIGSHIFT_BOOT=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		d.bed.giveUp("starting target/figd: %v", err)
	}
	d.bed.record("process  %s starts", d.name)
}

func (d *daemon) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := d.bed.call(time.Second, http.MethodGet, "http://"+net.JoinHostPort(d.ip, strconv.Itoa(d.bed.port+1))+"/api/readyz", nil, nil); status == http.StatusOK {
			return
		}
	}
	d.bed.giveUp("%s isn't ready", d.name)
}

func (d *daemon) signal(s syscall.Signal) {
	d.bed.record("process  %s gets %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// kill ends the process, also a stopped one.
func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil || d.cmd.ProcessState != nil {
		return
	}
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
}

// call makes a call on a new connection and returns the status, 0 without a whole answer, and the body.
func (b *bed) call(timeout time.Duration, method, url string, header http.Header, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		b.giveUp("%v", err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Host = header.Get("Host")
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return resp.StatusCode, text
}

// callerHeader returns the header fields of a call of the tenant.
func callerHeader(id string) http.Header {
	h := http.Header{"Host": {host}, "Authorization": {"Bearer " + apiKey}}
	if id != "" {
		h.Set("Figshift-Attempt-Id", id)
	}
	return h
}

// at waits until a time after the mark.
func at(mark time.Time, seconds float64) {
	time.Sleep(time.Until(mark.Add(time.Duration(seconds * float64(time.Second)))))
}
