package items

import (
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/call"
)

// The text of a result lacked the line feed of an event that began with an empty line.
func TestTextKeepsEveryLine(t *testing.T) {
	cases := map[string]struct{ stream, want string }{
		"first line is empty":        {"id: 1\ndata:\ndata: a\n\n", "\na"},
		"last line is empty":         {"id: 1\ndata: a\ndata:\n\n", "a\n"},
		"lines are empty":            {"id: 1\ndata:\ndata:\ndata:\n\n", "\n\n"},
		"one empty line":             {"id: 1\ndata:\n\nid: 2\ndata: b\n\n", "\nb"},
		"no data":                    {"id: 1\n\nid: 2\ndata: b\n\n", "\nb"},
		"no colon":                   {"id: 1\ndata\ndata: a\ndata\n\n", "\na\n"},
		"a space after the colon":    {"id: 1\ndata:a\ndata: b\ndata:  c\n\n", "a\nb\n c"},
		"spaces alone":               {"id: 1\ndata: \ndata:  \n\n", "\n "},
		"colons in the data":         {"id: 1\ndata: a: b\ndata::\n\n", "a: b\n:"},
		"endings CRLF":               {"id: 1\r\ndata:\r\ndata: a\r\n\r\n", "\na"},
		"endings CR":                 {"id: 1\rdata:\rdata: a\r\rid: 2\rdata: b\r\r", "\na\nb"},
		"endings of all kinds":       {"id: 1\rdata: a\r\ndata:\n\r\nid: 2\ndata: b\r\n\n", "a\n\nb"},
		"CR before an ending":        {"id: 1\r\ndata: a\r\ndata: b\r\r\n", "a\nb"},
		"byte order mark":            {"\xEF\xBB\xBFid: 1\ndata: a\n\n", "a"},
		"byte order mark, data":      {"\xEF\xBB\xBFdata: \xEF\xBB\xBFa\nid: 1\n\n", "\xEF\xBB\xBFa"},
		"comments and other fields":  {": hello\nid: 1\nevent: x\ndata:\n:\ndataset: y\ndata: a\nretry\n\n", "\na"},
		"a line longer than buffers": {"id: 1\ndata:\ndata: " + strings.Repeat("x", 3*readBufferBytes) + "\ndata:\n\n", "\n" + strings.Repeat("x", 3*readBufferBytes) + "\n"},
	}
	readers := map[string]func(io.Reader) io.Reader{
		"at once":          func(r io.Reader) io.Reader { return r },
		"byte by byte":     iotest.OneByteReader,
		"end with the end": iotest.DataErrReader,
	}
	for name, c := range cases {
		for pace, reader := range readers {
			t.Run(name+", "+pace, func(t *testing.T) {
				text, err := readText(reader(strings.NewReader(c.stream)), &itemText{})
				if diff := cmp.Diff(c.want, text); diff != "" || err != nil {
					t.Errorf("error %v, text (-want +got):\n%s", err, diff)
				}
			})
		}
	}
}

// readText adds the events of a stream to a text and returns it.
func readText(stream io.Reader, text *itemText) (string, error) {
	x := &Executor{Names: HeaderNames{HeaderNames: call.HeaderNames{}}}
	err := x.readEvents(stream, text, text.lastID, madeBy{weights: 3}, func() {})
	return string(text.text.data), err
}

// TestTextOfAnyEvents writes events of any lines in any form that the format has, and reads them in any parts and in two runs.
func TestTextOfAnyEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		line := rapid.StringMatching(`[ :a\x{FEFF}é]{0,4}`)
		ending := rapid.SampledFrom([]string{"\n", "\r\n", "\r"})
		var events []string
		streams := []string{"", ""}
		run := 0
		for n := range rapid.IntRange(1, 6).Draw(rt, "events") {
			lines := rapid.SliceOfN(line, 1, 4).Draw(rt, "lines")
			events = append(events, strings.Join(lines, "\n"))
			fields := []string{"id: " + strconv.Itoa(n+1)}
			for _, l := range lines {
				fields = append(fields, dataField(rt, l))
			}
			for _, field := range fields {
				streams[run] += field + ending.Draw(rt, "ending")
			}
			if strings.HasSuffix(streams[run], "\r") { // LF would belong to it
				streams[run] += "\r"
			} else {
				streams[run] += ending.Draw(rt, "ending")
			}
			if run == 0 && rapid.IntRange(0, 3).Draw(rt, "run ends") == 0 {
				run = 1
			}
		}
		text := &itemText{}
		var got string
		for _, stream := range streams {
			if rapid.Bool().Draw(rt, "byte order mark") {
				stream = string(byteOrderMark) + stream
			}
			var err error
			if got, err = readText(&parts{rt, []byte(stream)}, text); err != nil {
				rt.Fatal(err)
			}
		}
		if diff := cmp.Diff(strings.Join(events, "\n"), got); diff != "" {
			rt.Fatalf("text (-want +got):\n%s", diff)
		}
	})
}

// dataField returns a line of data as a field in any of its forms.
func dataField(rt *rapid.T, line string) string {
	forms := []string{"data: " + line}
	if !strings.HasPrefix(line, " ") {
		forms = append(forms, "data:"+line)
	}
	if line == "" {
		forms = append(forms, "data")
	}
	return rapid.SampledFrom(forms).Draw(rt, "field")
}

// parts is a reader that returns its bytes in parts of any size.
type parts struct {
	rt   *rapid.T
	rest []byte
}

// Read returns the next part.
func (p *parts) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.rest[:rapid.IntRange(1, min(len(p.rest), len(b))).Draw(p.rt, "part")])
	p.rest = slices.Clone(p.rest[n:])
	return n, nil
}
