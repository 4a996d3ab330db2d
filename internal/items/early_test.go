package items

import (
	"fmt"
	"testing"

	"github.com/figshift/figshift/internal/faulty"
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
