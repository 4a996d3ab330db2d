package gate

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/figshift/figshift/internal/budget"
	"github.com/figshift/figshift/internal/kinds"
)

// firstBlock is the size of the buffer with which the reading of a body begins, in bytes. It doubles, so that a client makes the
// process hold no more than twice what it has sent.
const firstBlock = 4 << 10

// memoryRetryAfter is the time after which a request that got no memory may come again.
const memoryRetryAfter = 500 * time.Millisecond

// RetryAfter returns the time after which a request that ReadBody or a claim has refused may come again, 0 when it may not.
func RetryAfter(kind kinds.Kind) time.Duration {
	if kind == kinds.MemoryShort {
		return memoryRetryAfter
	}
	return 0
}

// SkipBody leaves the rest of a request's body unread, if there is any: the answer isn't kept back until it has come. The connection
// is closed after the answer.
func SkipBody(w http.ResponseWriter, r *http.Request) {
	conn := From(r.Context())
	if r.ContentLength == 0 || conn == nil || !conn.awaitsBody() {
		return
	}
	conn.EndBody(false)
	w.Header().Set("Connection", "close")
}

// ReadBody reads the whole body of a request of at most the given number of bytes. The memory is held by the claim of its
// connection until the request has been answered. Its errors have kinds BodyTooLarge, MemoryShort and BadRequest; the connection is
// then closed after the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	conn := From(r.Context())
	body, err := readBody(conn.Claim(), r, limit)
	if errors.Is(err, errTurnedAway) {
		err = kinds.New(kinds.MemoryShort, "others need the memory that the body holds")
		if conn.endReason() == ReasonBodyRate {
			err = kinds.New(kinds.BodyTooSlow, "the body came too slowly")
		}
	}
	conn.EndBody(err == nil)
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not waited for
	}
	return body, err
}

func readBody(claim *budget.Claim, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, kinds.New(kinds.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	most := limit + 1 // a byte more tells that the body is too large
	if r.ContentLength > 0 {
		most = r.ContentLength
	}
	var body []byte
	for {
		if len(body) == cap(body) && int64(len(body)) < most {
			grown, err := growBody(claim, body, most)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		if int64(len(body)) > limit {
			return nil, kinds.New(kinds.BodyTooLarge, "the body exceeds %d bytes", limit)
		}
		if int64(len(body)) == r.ContentLength {
			return body, nil
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case errors.Is(err, errTurnedAway):
			return nil, err
		case err != nil:
			return nil, kinds.New(kinds.BadRequest, "the request body could not be read")
		}
	}
}

// growBody returns the body with room for more, at most up to the given number of bytes.
func growBody(claim *budget.Claim, body []byte, most int64) ([]byte, error) {
	size := min(max(2*int64(cap(body)), firstBlock), most)
	if err := claim.Grow(budget.Bodies, size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	claim.Shrink(budget.Bodies, int64(cap(body)))
	return grown, nil
}
