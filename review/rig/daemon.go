package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// daemon is one of the project's daemons, run as deploy/system.toml says.
type daemon struct {
	r       *rig
	name    string
	ip      string
	front   string
	ready   string
	values  map[string]string // of the template's placeholders
	command string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// startDaemons starts daemons of the front role in three zones and waits until all are ready.
func (r *rig) startDaemons(count int, s *store) error {
	net2, net3 := 20+rand.IntN(200), 1+rand.IntN(250)
	for n := 1; n <= count; n++ {
		ip := fmt.Sprintf("127.%d.%d.%d", net2, net3, n)
		port, err := freePorts(ip)
		if err != nil {
			return err
		}
		d := &daemon{
			r: r, name: fmt.Sprintf("front-%d", n), ip: ip, front: fmt.Sprintf("%s:%d", ip, port), ready: fmt.Sprintf("%s:%d", ip, port+1),
			command: filepath.Join(r.root, "target", "figd"),
		}
		d.values = map[string]string{
			"node": d.name, "zone": fmt.Sprintf("zone-%d", (n-1)%3+1), "machine_class": "front", "ip": ip, "listen.front": d.front, "listen.ready": d.ready,
			"internal_ports": fmt.Sprintf("%d,%d", port+2, port+17), "platform.address": s.address, "cloud.address": s.address,
			"limits.memory_mb": "284", "limits.cpu_share": "0.4", "limits.cores": "1", "bootstrap": "true", "bounds.grace_s": "8", "bounds.lease_ms": "3000",
			"bounds.usage_window_s": "5", "bounds.usage_late_s": "10", "bounds.status_s": "120",
		}
		r.daemons = append(r.daemons, d)
		if err := d.begin(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range r.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// freePorts returns the first of 20 ports that are free on an address.
func freePorts(ip string) (int, error) {
	for range 100 {
		first := 20000 + rand.IntN(10000)
		free := true
		for port := first; port < first+20 && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			free = err == nil
			if free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports on %s", ip)
}

// begin writes the settings file and starts the process.
func (d *daemon) begin() error {
	template, err := os.ReadFile(filepath.Join(d.r.root, "deploy", "figd.ini"))
	if err != nil {
		return err
	}
	settings := string(template)
	for name, value := range d.values {
		settings = strings.ReplaceAll(settings, "{{"+name+"}}", value)
	}
	file := filepath.Join(d.r.folder, d.name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.r.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		if log, err = os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return err
		}
	}
	process := exec.Command(d.command, "platform")
	process.Dir = d.r.root
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.r.folder, "FIGSHIFT_BOOT=" + file}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
	d.mu.Lock()
	d.process, d.ended = process, ended
	d.mu.Unlock()
	d.values["bootstrap"] = "false" // from the second start on
	d.r.record("%s starts as process %d", d.name, process.Process.Pid)
	return nil
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	process, ended := d.process, d.ended
	d.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		<-ended
	}
}

// killAndRestart kills the process, which the platform starts again after restartDelay.
func (d *daemon) killAndRestart() {
	d.r.record("%s is killed", d.name)
	d.kill()
	time.AfterFunc(restartDelay, func() {
		if err := d.begin(); err != nil {
			d.r.record("%s: %v", d.name, err)
		}
	})
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
