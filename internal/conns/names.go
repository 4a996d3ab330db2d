package conns

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/pkg/errors"
)

// checkNames returns an error if the name of a field holds a blank. net/http refuses all other bytes that a name can't hold, but
// keeps such a field under its odd name, so that a length, a transfer coding or anything else that is read from a field is missing.
func checkNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return errors.Errorf("the name of the field %q holds a blank", name)
		}
	}
	return nil
}

// interimHead is what an interim answer (1xx) counts at least of MaxHeaderBytes.
const interimHead = 256

// interimAnswers are those to one request. net/http leaves their number to whoever sees them.
type interimAnswers struct {
	bytes int // of their heads
}

// add returns an error if the name of a field holds a blank, or if the heads are too long together.
func (a *interimAnswers) add(_ int, h textproto.MIMEHeader) error {
	a.bytes += interimHead
	for name, values := range h {
		for _, value := range values {
			a.bytes += len(name) + len(value)
		}
	}
	if a.bytes > MaxHeaderBytes {
		return errors.New("the interim answers are too long")
	}
	return checkNames(http.Header(h))
}

// answerBody is the body of an answer. Its trailer is checked at its end.
type answerBody struct {
	io.ReadCloser
	answer   *http.Response
	exchange *exchange
}

// Read reads into p. The end of a body with a malformed trailer is an error.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.end()
		if malformed := checkNames(b.answer.Trailer); malformed != nil {
			Abandon(b.exchange.conn)
			err = malformed
		}
	}
	return n, err
}

// Close closes the body. Before its end the exchange is abandoned.
func (b *answerBody) Close() error {
	b.exchange.abandoned.Store(true) // means nothing for an answer that is whole
	return b.ReadCloser.Close()
}
