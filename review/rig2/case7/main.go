// Case 7: the store gives three hosts no answers, those that read the configuration from it for all, and the configuration
// changes just then.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"figshift-review-2/rig"
)

const (
	cutTime     = 4500 * time.Millisecond
	applyBound  = 2 * time.Second // config_apply_ms
	probeTime   = 8 * time.Second
	probePause  = 50 * time.Millisecond
	beforeTheOp = 50 * time.Millisecond
	hosts       = "front-stgo-a-1 front-stgo-a-2 front-stgo-a-3 front-stgo-b-1 front-stgo-b-2 front-stgo-c-1 front-stgo-c-2 front-stgo-d-1"
)

func main() {
	e, err := rig.New()
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.Unplayed)
	}
	e.Names = strings.Fields(hosts)
	e.AddServers(37*time.Millisecond, 20*time.Millisecond, func(string) int { return 26 })
	e.Extra = []any{rig.ExtraRoute("old", "/old/")}
	var cut atomic.Bool
	var silent map[string]bool
	e.Silent = func(host string) bool { return cut.Load() && silent[host] }
	if err := e.Start(8, 4); err != nil {
		e.Finish(rig.Unplayed, "not played: %v", err)
	}
	time.Sleep(8 * time.Second)
	silent = e.Readers("config")
	if len(silent) != 3 {
		e.Finish(rig.Unplayed, "not played: the configuration is read by %v", silent)
	}
	e.Note("the store gives no answers to %v", silent)
	cut.Store(os.Getenv("TROUBLE") != "0")
	time.AfterFunc(cutTime, func() {
		cut.Store(false)
		e.Note("the store answers all again")
	})
	time.Sleep(beforeTheOp)
	e.Configure(9)
	acked := time.Now()
	e.Note("version 9, without the route, is acknowledged")
	judge(e, silent, acked)
}

// judge sends requests on the dropped route to the hosts that the store answers, and checks the rule CONFIG.
func judge(e *rig.Estate, silent map[string]bool, acked time.Time) {
	var last atomic.Int64
	var wg sync.WaitGroup
	for _, f := range e.Fronts {
		if silent[f.Name] {
			continue
		}
		wg.Go(func() {
			for n := 0; time.Since(acked) < probeTime; n++ {
				sent := time.Now()
				id := fmt.Sprintf("probe-%s-%d", f.Name, n)
				status, _ := e.CallAt(f, http.MethodPost, "/old/"+id, map[string]string{"Figshift-Attempt-Id": id, "Figshift-Deadline-Ms": "1500"}, []byte("x"), 2*time.Second)
				after := sent.Sub(acked)
				e.Note("%s, sent %.3f s after the acknowledgement: %d", id, after.Seconds(), status)
				if status == http.StatusOK && int64(after) > last.Load() {
					last.Store(int64(after))
				}
				time.Sleep(probePause)
			}
		})
	}
	wg.Wait()
	if late := time.Duration(last.Load()); late > applyBound {
		e.Finish(rig.Broken, "CONFIG broken: a request that was sent %.2f s after the acknowledgement ran on the dropped route", late.Seconds())
	}
	e.Finish(rig.Held, "held: the last request that ran on the dropped route was sent %.2f s after the acknowledgement", time.Duration(last.Load()).Seconds())
}
