// Rig plays the cases of the review that can't be put as a day: it starts the project's daemons as processes and plays the
// platform's store, the servers and the clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases are the cases by number.
var cases = map[string]func(r *rig) (verdict int, why string){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROJECT-ROOT RECORD")
		os.Exit(unable)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays one case and ends all that it started, also when it is interrupted.
func play(name, root, recordFile string) int {
	file, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer func() { _ = file.Close() }()
	folder, err := os.MkdirTemp("", "figshift-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer func() { _ = os.RemoveAll(folder) }()
	r := &rig{root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0", file: file, start: time.Now()}
	defer r.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() {
		verdict, why := cases[name](r)
		r.record("verdict %d: %s", verdict, why)
		fmt.Printf("case %s, trouble %v: exit %d: %s\n", name, r.trouble, verdict, why)
		done <- verdict
	}()
	select {
	case verdict := <-done:
		return verdict
	case <-stopped:
	case <-time.After(110 * time.Second):
		fmt.Println("the case took too long")
	}
	return unable
}

// rig is one play of a case.
type rig struct {
	root    string
	folder  string
	trouble bool
	start   time.Time

	mu      sync.Mutex
	file    *os.File
	daemons []*daemon
}

// record writes a line of what was sent, answered or run.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) now() time.Duration { return time.Since(r.start) }

func (r *rig) stop() {
	for _, d := range r.daemons {
		d.kill()
	}
}
