package call

import "testing"

// A stream of events that ended within an event, without a length, was taken for whole.
func TestEndsOfEventStreams(t *testing.T) {
	cases := map[string]struct {
		stream   string
		resuming bool
		want     bool
	}{
		"event":                       {"id: 1\ndata: x\n\n", false, true},
		"event, CR LF":                {"id: 1\r\ndata: x\r\n\r\n", false, true},
		"event, CR":                   {"id: 1\rdata: x\r\r", false, true},
		"comment after the event":     {"data: x\n\n: end\n", false, true},
		"in a field's name":           {"data: x\n\nid", false, false},
		"in a value":                  {"data: x\n\nid: 1\ndata: y", false, false},
		"between lines":               {"data: x\n\nid: 1\n", false, false},
		"between lines, CR LF":        {"data: x\r\n\r\nid: 1\r\n", false, false},
		"before the empty line's end": {"data: x\r\n", false, false},
		"in a comment":                {"data: x\n\n: en", false, false},
		"nothing":                     {"", false, false},
		"comment only":                {": hello\n\n", false, false},
		"nothing more":                {"", true, true},
		"in the next event":           {"id: 3\n", true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := eventScanner{resuming: c.resuming}
			for i := range len(c.stream) {
				s.scan([]byte(c.stream[i : i+1]))
			}
			if got := s.whole(); got != c.want {
				t.Errorf("whole() = %v after %q", got, c.stream)
			}
		})
	}
}
