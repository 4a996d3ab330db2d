// Case 6: a daemon that is stopped holds its batch jobs back for the time of its stop, since the score of an item of an
// ended job never came.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"figshift-review-2/rig"
)

const (
	gap         = 37 * time.Millisecond
	shortItem   = 26
	longItem    = 185 // 6.8 s
	groups      = 25
	groupSize   = 4
	giveUp      = 12 * time.Second // the trainer's deadline
	stopAfter   = 4200 * time.Millisecond
	idleBound   = 5 * time.Second
	afterNaming = 6 * time.Second
	slots       = 8 * 8 // of the model servers
)

func main() {
	trouble := os.Getenv("TROUBLE")
	e, err := rig.New()
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.Unplayed)
	}
	e.AddServers(gap, 100*time.Millisecond, events)
	if trouble != "0" && trouble != "term" {
		loseOneAnswer(e)
	}
	if err := e.Start(8, 3); err != nil {
		e.Finish(rig.Unplayed, "not played: %v", err)
	}
	time.Sleep(4 * time.Second)
	first := rig.NewStep(1, groups, groupSize)
	if !e.Submit(first) || !e.Await(first, giveUp) || !e.End(first) {
		e.Finish(rig.Unplayed, "not played: the first step did not end")
	}
	time.Sleep(500 * time.Millisecond) // the training
	e.Name(2)
	named := time.Now()
	second := rig.NewStep(2, groups, groupSize)
	if !e.Submit(second) {
		e.Finish(rig.Unplayed, "not played: the second step was not accepted")
	}
	owner := e.Owner(second)
	if owner == nil {
		e.Finish(rig.Unplayed, "not played: nobody runs the second step")
	}
	if trouble != "0" {
		time.AfterFunc(stopAfter-time.Since(second.Submitted), owner.Terminate)
	}
	whole := e.Await(second, giveUp)
	judge(e, second, named, time.Now(), whole)
}

// events returns the length of an item's stream: eight items of a hundred in the second step are long.
func events(id string) int {
	if strings.HasPrefix(id, "item2-0") && id <= "item2-07-0" && strings.HasSuffix(id, "-0") {
		return longItem
	}
	return shortItem
}

// loseOneAnswer has the servers lose the answer of one request that they ran: of one of the first step's last reward calls.
func loseOneAnswer(e *rig.Estate) {
	var once sync.Mutex
	lost := false
	for _, s := range e.Servers {
		s.LosesAnswer = func(id string) bool {
			once.Lock()
			defer once.Unlock()
			if lost || !strings.HasPrefix(id, "reward-item1-24-") {
				return false
			}
			lost = true
			e.Note("the answer to %s is lost", id)
			return true
		}
	}
}

// judge checks the rule LOST for a step that has run out of time: an item of it that no server has finished was at no server
// for five seconds, while the servers were under half full, others of the step had begun, and no version was named then or in
// the six seconds before.
func judge(e *rig.Estate, s *rig.Step, named, end time.Time, whole bool) {
	if whole {
		e.Finish(rig.Held, "held: the step was whole %.1f s after it was submitted", end.Sub(s.Submitted).Seconds())
	}
	from := end.Add(-idleBound)
	if from.Sub(named) < afterNaming {
		e.Finish(rig.Unplayed, "not played: a version was named too late")
	}
	begun, busy := 0, 0
	for _, it := range s.Items {
		runs := e.Runs(it.ID)
		if len(runs) > 0 {
			begun++
		}
		for _, r := range runs {
			if r.End.IsZero() || r.End.After(from) {
				busy++
			}
		}
	}
	for _, it := range s.Items {
		if idle := end.Sub(lastAtServer(e, it.ID, s.Submitted, end)); idle >= idleBound && begun > 1 && busy < slots/2 {
			e.Finish(rig.Broken, "LOST broken: the step ran out of time %.1f s after it was submitted; %s was at no server for the last %.1f s", end.Sub(s.Submitted).Seconds(), it.ID, idle.Seconds())
		}
	}
	e.Finish(rig.Held, "held: the step ran out of time, but no item was at no server for %v", idleBound)
}

// lastAtServer returns when an item was last at a server: the end, when it is at one or a server has finished it. A run that
// ended within a second doesn't count.
func lastAtServer(e *rig.Estate, id string, submitted, end time.Time) time.Time {
	last := submitted
	for _, r := range e.Runs(id) {
		switch {
		case r.End.IsZero() || r.Finished:
			return end
		case r.End.Sub(r.Start) >= time.Second:
			last = r.End
		}
	}
	return last
}
