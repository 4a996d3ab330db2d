package serve

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/wire"
)

// segments encodes a token in each segment, as the chunked body of an engine's answer.
func segments(tokens ...string) string {
	text := ""
	for _, token := range tokens {
		line, _ := json.Marshal(wire.Segment{Tokens: []string{token}, Version: 1})
		text += fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line)
	}
	return text
}

const ndjsonHead = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n"

// lastSegment ends a generation.
const lastSegment = `{"Done":true,"PromptTokens":1,"GeneratedTokens":1}` + "\n"

// unfitAnswers are answers of an endpoint that can't follow on a part of a stream.
func unfitAnswers() map[string]string {
	answer := func(status, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	}
	const htmlType, jsonType, oops = "Content-Type: text/html\r\n", "Content-Type: application/json\r\n", `{"Detail":"oops","Token":"t2"}`
	return map[string]string{
		"Failure":            answer("500 Oops", jsonType, oops),
		"NotRun":             answer("503 Busy", wire.HeaderNotRun+": true\r\n"+jsonType, oops),
		"Busy":               answer("503 Busy", jsonType, oops),
		"Limited":            answer("429 Later", wire.HeaderNotRun+": true\r\n", oops),
		"Misdirected":        answer("421 Misdirected", jsonType, oops),
		"NotFound":           answer("404 Not Found", htmlType, "<p>oops</p>"),
		"Unprocessable":      answer("422 Unprocessable", jsonType, oops),
		"Redirect":           answer("302 Found", "Location: /oops\r\n", ""),
		"NoContent":          "HTTP/1.1 204 No Content\r\n\r\n",
		"Page":               answer("200 OK", htmlType, "<p>oops</p>\n"),
		"Object":             answer("200 OK", jsonType, oops+"\n"),
		"List":               answer("200 OK", jsonType, `["oops"]`),
		"Number":             answer("200 OK", jsonType, "7\n"),
		"Null":               answer("200 OK", jsonType, "null\nnull\n"),
		"Nothing":            answer("200 OK", jsonType, ""),
		"NoHTTP":             "oops oops\r\n\r\n",
		"StopInHead":         "HTTP/1.1 200 OK\r\nContent-Ty",
		"StopBeforeBody":     ndjsonHead,
		"StopInSegment":      ndjsonHead + segments("t2")[:9],
		"StopInLastSegment":  ndjsonHead + fmt.Sprintf("%x\r\n%s", len(lastSegment), lastSegment[:9]),
		"StopInEventsHead":   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
		"UnframedEmptyError": "HTTP/1.0 500 Oops\r\n\r\n",
	}
}

// A generation had begun and broke off, and the next endpoint answered with an error. The error's text, or what else came instead
// of the rest, stood in the caller's stream, or the stream ended as if it were whole.
func TestErrorOfTheNextEndpointIsNotInTheGeneration(t *testing.T) {
	cases := unfitAnswers()
	cases["GoesOn"] = ndjsonHead + segments("t2") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(lastSegment), lastSegment)
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, next := newRawEndpoint(t), newRawEndpoint(t)
			first.answer.Store(ndjsonHead + segments("t0", "t1"))
			next.answer.Store(answer)
			url := scriptedHost(t, false, "m", first.address, next.address)
			got := callOver(t, url+"/draft", "HTTP/1.1")
			var tokens []string
			done := false
			for line := range strings.Lines(got.body) {
				var s wire.Segment
				if err := json.Unmarshal([]byte(line), &s); err != nil || len(s.Tokens) == 0 && !s.Done && s.Error != "StreamCut" {
					t.Errorf("no segment: %s", line)
				}
				tokens, done = append(tokens, s.Tokens...), s.Done
			}
			want := []string{"t0", "t1"}
			if name == "GoesOn" {
				want = append(want, "t2")
			}
			if diff := cmp.Diff(want, tokens); diff != "" {
				t.Errorf("tokens (-want +got):\n%s", diff)
			}
			if goesOn := name == "GoesOn"; got.whole() != goesOn || done != goesOn {
				t.Errorf("the stream ended with %v, its last segment seen: %v", got.err, done)
			}
		})
	}
}

// A stream of events had begun and broke off. Whatever the next endpoint answers, nothing of it may follow in the caller's stream.
func TestErrorOfTheNextEndpointIsNotInTheEvents(t *testing.T) {
	for framing, whole := range framedAnswers("text/event-stream", streamBody) {
		if strings.HasPrefix(framing, "Length") || framing == "AfterInterim" {
			continue // such an answer to a safe call is forwarded once it is whole
		}
		for name, answer := range unfitAnswers() {
			for _, passed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/passed=%v", framing, name, passed), func(t *testing.T) {
					t.Parallel()
					first, next := newRawEndpoint(t), newRawEndpoint(t)
					first.answer.Store(whole[:strings.Index(whole, "data: two")])
					next.answer.Store(answer)
					got := callOver(t, scriptedHost(t, passed, "", first.address, next.address)+"/lookup", "HTTP/1.1")
					if got.whole() || !strings.HasPrefix(streamBody, got.body) {
						t.Errorf("status %d, body %q, %v; want the begin of a stream that breaks off", got.status, got.body, got.err)
					}
				})
			}
		}
	}
}
