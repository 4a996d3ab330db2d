package items

import (
	"bufio"
	"bytes"
	"io"

	"github.com/figshift/figshift/internal/budget"
)

// lineReader reads the lines of an event stream, which end with LF, CR or both. A byte order mark before the first one is no part of
// it.
type lineReader struct {
	r       *bufio.Reader
	long    heldBytes // a line that does not fit into r
	begun   bool      // the start was looked at for a byte order mark
	afterCR bool      // the last line ended with CR: LF, if it comes next, belongs to that ending
}

var byteOrderMark = []byte("\xEF\xBB\xBF")

// newLineReader returns a reader of a stream's lines. The claim holds the memory of long ones.
func newLineReader(stream io.Reader, claim *budget.Claim) *lineReader {
	return &lineReader{r: bufio.NewReaderSize(stream, readBufferBytes), long: heldBytes{claim: claim}}
}

// next returns the next line without its ending, which is valid until the next call. It returns io.EOF after the last line. A line
// without an ending is an error.
func (l *lineReader) next() ([]byte, error) {
	l.long.drop()
	l.skipMark()
	if err := l.skipFeed(); err != nil {
		return nil, err
	}
	for searched := 0; ; {
		_, err := l.r.Peek(searched + 1)
		buffered, _ := l.r.Peek(l.r.Buffered())
		end := bytes.IndexAny(buffered[searched:], "\r\n")
		if end < 0 && err == nil && len(buffered) < l.r.Size() {
			searched = len(buffered)
			continue
		}
		if end < 0 && err != nil {
			if err == io.EOF && (len(buffered) > 0 || len(l.long.data) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if end >= 0 {
			return l.take(buffered, searched+end)
		}
		if len(l.long.data)+len(buffered) > maxLineBytes {
			return nil, errEndlessEvent
		}
		if err := l.long.append(buffered...); err != nil {
			return nil, err
		}
		l.discard(len(buffered))
		searched = 0
	}
}

// skipMark reads the byte order mark at the start of the stream.
func (l *lineReader) skipMark() {
	if l.begun {
		return
	}
	l.begun = true
	if first, _ := l.r.Peek(len(byteOrderMark)); bytes.Equal(first, byteOrderMark) { // an error comes again
		l.discard(len(first))
	}
}

// skipFeed reads the LF that belongs to the CR of the last line.
func (l *lineReader) skipFeed() error {
	if !l.afterCR {
		return nil
	}
	first, err := l.r.Peek(1)
	if err != nil {
		return err
	}
	if first[0] == '\n' {
		l.discard(1)
	}
	l.afterCR = false
	return nil
}

// take returns the line that ends at a position in the buffered bytes, and reads its ending.
func (l *lineReader) take(buffered []byte, end int) ([]byte, error) {
	line := buffered[:end]
	l.afterCR = buffered[end] == '\r'
	l.discard(end + 1) // which leaves the bytes of line in place until more is read
	if len(l.long.data) > 0 {
		if err := l.long.append(line...); err != nil {
			return nil, err
		}
		line = l.long.data
	}
	return line, nil
}

// discard drops buffered bytes.
func (l *lineReader) discard(n int) { _, _ = l.r.Discard(n) } // they are buffered, so that it can't fail
