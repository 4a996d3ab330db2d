package conns

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Questions are those that the connections of one request ask endpoints for their incarnations. A transport also dials for a
// request that then takes a kept connection, and finishes that later. Its methods may be called concurrently.
type Questions struct {
	mu     sync.Mutex
	asked  int
	closed bool
}

type questionsKey struct{}

var errQuestionsClosed = errors.New("the request that the connection was made for has ended")

// With returns a context for the request. With it, Identity.Dial asks nothing once the questions are closed.
func (q *Questions) With(ctx context.Context) context.Context {
	return context.WithValue(ctx, questionsKey{}, q)
}

// Close ends the questions and returns the number of those that were asked or begun.
func (q *Questions) Close() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	return q.asked
}

// beginQuestion counts a question of the request that ctx belongs to, before it is asked. It is an error after Close.
func beginQuestion(ctx context.Context) error {
	q, ok := ctx.Value(questionsKey{}).(*Questions)
	if !ok {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return errQuestionsClosed
	}
	q.asked++
	return nil
}
