package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// proxyOffset is added to a daemon's number in the address of its proxies.
const proxyOffset = 100

// daemon is one of the project's daemons, run as deploy/system.toml says.
type daemon struct {
	r       *rig
	name    string
	ip      string
	front   string
	ready   string
	values  map[string]string // of the template's placeholders
	command string
	bind    string // IP of the internal listeners, when proxies stand before them
	mesh    *proxy // before the listener for heartbeats and news
	host    *proxy // before the listener for calls between hosts

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// startDaemons starts daemons of the front role in three zones and waits until all are ready. With proxies, they reach each
// other through them.
func (r *rig) startDaemons(count int, s *store, proxies bool) error {
	net2, net3 := 20+rand.IntN(200), 1+rand.IntN(250)
	address := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", net2, net3, n) }
	var ips []string
	for n := 1; n <= count; n++ {
		ips = append(ips, address(n), address(proxyOffset+n))
	}
	port, err := freePorts(ips)
	if err != nil {
		return err
	}
	for n := 1; n <= count; n++ {
		ip := address(n)
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
		if proxies {
			if err := d.startProxies(address(proxyOffset+n), port+2); err != nil {
				return err
			}
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

// startProxies has the others reach the daemon at another IP, at which proxies listen.
func (d *daemon) startProxies(ip string, port int) (err error) {
	d.bind, d.values["ip"] = d.ip, ip
	if d.mesh, err = startProxy(fmt.Sprintf("%s:%d", ip, port), fmt.Sprintf("%s:%d", d.ip, port)); err != nil {
		return err
	}
	d.host, err = startProxy(fmt.Sprintf("%s:%d", ip, port+1), fmt.Sprintf("%s:%d", d.ip, port+1))
	return err
}

// freePorts returns the first of 20 ports that are free on all addresses: a deployment's machines have the same ports.
func freePorts(ips []string) (int, error) {
	for range 100 {
		first := 20000 + rand.IntN(10000)
		if !slices.ContainsFunc(ips, func(ip string) bool { return !portsAreFree(ip, first, 20) }) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports on %v", ips)
}

func portsAreFree(ip string, first, count int) bool {
	for port := first; port < first+count; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
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
	if d.bind != "" {
		settings += "Bind = " + d.bind + "\n"
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
