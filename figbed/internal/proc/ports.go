package proc

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// The ports are below the ephemeral range, so that no outgoing connection occupies one.
const (
	firstPort       = 12000
	lastPort        = 32000 // exclusive
	portsPerProcess = 61    // distance between the first ports of test processes with consecutive ids
)

var ports struct {
	mu     sync.Mutex
	seeded bool
	offset int // of the port that was tried last, from firstPort
}

// Address returns a free address on a loopback IP, which it has tested by binding it. Each test process starts at a
// different port of the range, so that processes that run at the same time rarely try the same ports.
func Address(t T, ip string) string {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	portCount := lastPort - firstPort
	if !ports.seeded { // not offset == 0, which also occurs each time the offset wraps around
		ports.seeded = true
		ports.offset = os.Getpid() * portsPerProcess % portCount
		probeProcessSupport()
	}
	for range portCount {
		ports.offset = (ports.offset + 1) % portCount
		address := fmt.Sprintf("%s:%d", ip, firstPort+ports.offset)
		if canBind(address) {
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// probeProcessSupport makes package os detect now how the kernel supports process handles. The detection forks once
// without taking the lock that canBind holds.
func probeProcessSupport() {
	if p, err := os.FindProcess(os.Getpid()); err == nil {
		_ = p.Release()
	}
}

// canBind reports whether the address can be bound. It prevents forks meanwhile: a child process would hold the socket
// between its fork and its exec, so that the address would still be in use after the socket is closed here.
func canBind(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
