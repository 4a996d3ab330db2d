package proc

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// The ports lie below the ephemeral range, so that no outgoing connection takes one.
const (
	firstPort = 12000
	lastPort  = 32000
	portStep  = 61
)

var ports struct {
	mu    sync.Mutex
	begun bool
	next  int
}

// Address returns a free address on a loopback IP. Test processes start at different places of the range, so that
// those that run at the same time rarely try the same ones; each is tried by binding it.
func Address(t T, ip string) string {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	span := lastPort - firstPort
	if !ports.begun { // a next of 0 may as well be the start of the range, reached from its end
		ports.begun = true
		ports.next = os.Getpid() * portStep % span
		forkProbe()
	}
	for range span {
		ports.next = (ports.next + 1) % span
		address := fmt.Sprintf("%s:%d", ip, firstPort+ports.next)
		if free(address) {
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// forkProbe has package os find out now what the kernel can do with processes: it forks once for that, without the lock
// that free holds.
func forkProbe() {
	if p, err := os.FindProcess(os.Getpid()); err == nil {
		_ = p.Release()
	}
}

// free reports whether the address can be bound. No process is forked meanwhile: a child would hold the socket from its
// fork to its exec, and the address would still be in use after the close.
func free(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
