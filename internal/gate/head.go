package gate

// unseenBytes is what the server may have read of a head that was not counted: its buffer.
const unseenBytes = 4 << 10

// headScan finds the end of a request's head and counts what it will hold.
type headScan struct {
	bytes int // scanned, without empty lines before the request line
	lines int
	line  int // bytes of the current line, without line ends
	ended bool
}

// scan returns the number of bytes of text up to the end of the head, or all.
func (s *headScan) scan(text []byte) int {
	for i, b := range text {
		if s.bytes == 0 && (b == '\r' || b == '\n') {
			continue // the server passes over line ends before a request
		}
		s.bytes++
		switch b {
		case '\n':
			if s.line == 0 {
				s.ended = true
				return i + 1
			}
			s.lines++
			s.line = 0
		case '\r':
		default:
			s.line++
		}
	}
	return len(text)
}

// unseen counts as much as the server may have read already.
func (s *headScan) unseen() { s.lines = unseenBytes / len("a:\r\n") }
