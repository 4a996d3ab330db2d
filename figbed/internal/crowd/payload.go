package crowd

import (
	"fmt"
	"strings"
)

const (
	shortField = "a:\r\n"
	headEnd    = "\r\n"
	blockBytes = 16 << 10 // of a body that is sent in blocks
)

// Request describes a request of which payloads are made.
type Request struct {
	Method string
	Path   string
	Host   string
	Fields string // header fields, each with its line end
}

func (r Request) head() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", r.Method, r.Path, r.Host, r.Fields)
}

// ShortFields returns a head of about the given number of bytes that consists of short fields with different names. Ended tells
// whether the head is whole.
func (r Request) ShortFields(bytes int, ended bool) []Part {
	var b strings.Builder
	b.WriteString(r.head())
	for i := 0; b.Len() < bytes-len(headEnd); i++ {
		b.WriteString(shortName(i) + shortField[1:])
	}
	if ended {
		b.WriteString(headEnd)
	}
	return []Part{{b.String(), 1}}
}

// shortName returns a field name of two or more letters, another one for each number.
func shortName(n int) string {
	name := []byte{byte('a' + n%26)}
	for n /= 26; n > 0; n /= 26 {
		name = append(name, byte('a'+n%26))
	}
	return string(name)
}

// Body returns a request that announces a body of the given number of bytes and sends it without its last byte.
func (r Request) Body(bytes int) []Part {
	blocks, rest := (bytes-1)/blockBytes, (bytes-1)%blockBytes
	return []Part{
		{r.head() + fmt.Sprintf("Content-Length: %d\r\n\r\n", bytes), 1},
		{strings.Repeat("b", blockBytes), blocks},
		{strings.Repeat("b", rest), 1},
	}
}

// Begun returns a request whose head is of about the given number of bytes in short fields, and whose body stops after a byte.
func (r Request) Begun(headBytes int) []Part {
	r.Fields += "Content-Length: 100\r\n"
	return append(r.ShortFields(headBytes, true), Part{"b", 1})
}

// Chunks returns a request with a body of the given number of bytes in chunks of the given size, without the last chunk.
func (r Request) Chunks(bytes, size int) []Part {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size))
	perBlock := max(1, blockBytes/len(chunk))
	return []Part{{r.head() + "Transfer-Encoding: chunked\r\n\r\n", 1}, {strings.Repeat(chunk, perBlock), bytes / size / perBlock}}
}

// List returns a request whose body consists of a beginning, elements that are separated by commas up to the given number of bytes,
// and an end.
func (r Request) List(begin string, element func(i int) string, end string, bytes int) []Part {
	var b strings.Builder
	b.WriteString(begin + element(0))
	for i := 1; b.Len() < bytes-len(element(i))-len(end)-1; i++ {
		b.WriteString("," + element(i))
	}
	b.WriteString(end)
	return []Part{{r.head() + fmt.Sprintf("Content-Length: %d\r\n\r\n", b.Len()), 1}, {b.String(), 1}}
}

// SentAhead returns whole requests without bodies, one after the other, of about the given number of bytes.
func (r Request) SentAhead(bytes int) []Part {
	request := r.head() + headEnd
	return []Part{{request, 1}, {strings.Repeat(request, max(1, blockBytes/len(request))), bytes / blockBytes}}
}
