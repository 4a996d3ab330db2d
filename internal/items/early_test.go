package items

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/faulty"
	"github.com/figshift/figshift/internal/relay"
	"github.com/figshift/figshift/internal/wire"
)

// An engine answered a long item at once, without a length, and reset the connection while the item was being written. The events
// that had come were taken for the whole text.
func TestEarlyStreamThatIsResetIsNoText(t *testing.T) {
	const plays = 8
	body := make([]byte, faulty.LongBody)
	for protocol, events := range map[string]string{"HTTP/1.1": "id: 1\ndata: one\n\n", "HTTP/1.0": "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"} {
		head := protocol + " 200 OK\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n"
		for ending, e := range faulty.Resets {
			for _, held := range []int{0, 2} {
				t.Run(fmt.Sprintf("%s/%s/held=%d", protocol, ending, held), func(t *testing.T) {
					t.Parallel()
					text := head // a stream that is taken up again may bring no more events
					if held == 0 {
						text += events
					}
					address := faulty.Start(t, faulty.Always(text, e))
					for range plays {
						if status, reason, got := runItemAt(address, body, held); reason == "" {
							t.Fatalf("status %d, the text is whole with %d events", status, got.events)
						}
					}
				})
			}
		}
		t.Run(protocol+"/Drained", func(t *testing.T) {
			t.Parallel()
			address := faulty.Start(t, faulty.Always(head+events, faulty.Drained))
			if status, reason, _ := runItemAt(address, body, 0); reason != "" {
				t.Errorf("status %d, reason %q", status, reason)
			}
		})
	}
}

// A process at the address of another host answered long copies at once and reset the connection while they were being written.
// The copies counted as taken.
func TestEarlyAnswerThatIsResetTakesNoCopy(t *testing.T) {
	updates := []jobCopy{{Job: "j", Body: &wire.Job{Items: []wire.JobItem{{ID: "i", Body: make([]byte, faulty.LongBody)}}}}}
	for ending, e := range faulty.Resets {
		t.Run(ending, func(t *testing.T) {
			t.Parallel()
			address, err := net.ResolveTCPAddr("tcp", faulty.Start(t, faulty.Always("HTTP/1.1 200 OK\r\n\r\n", e)))
			if err != nil {
				t.Fatal(err)
			}
			hosts := &relay.HostAddresses{Port: address.Port}
			hosts.Do(event.KnowHosts{Hosts: []event.Host{{Name: "h2", Address: address.String()}}})
			p := &PeerClient{Hosts: hosts, HTTP: conns.Transport(time.Second, 1, time.Second)}
			if outcome := p.Copy(context.Background(), "h2", updates); outcome != CopyUnknown {
				t.Errorf("outcome %v, want %v", outcome, CopyUnknown)
			}
		})
	}
}
