package peer

import (
	"sync"

	"github.com/figshift/figshift/internal/wire"
)

// queueSize is the maximum number of messages that wait for one connection.
const queueSize = 256

// queue holds the messages that wait for one connection. When it is full, a new message replaces the oldest heartbeat;
// without a heartbeat the new message is dropped.
type queue struct {
	mutex    sync.Mutex
	messages []wire.Message
	filled   chan struct{} // holds one element while there may be messages
}

func newQueue() *queue { return &queue{filled: make(chan struct{}, 1)} }

// put adds a message and returns how many messages were dropped.
func (q *queue) put(message wire.Message) (dropped int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.messages) >= queueSize {
		dropped = 1
		if !q.dropHeartbeat() {
			return dropped
		}
	}
	q.messages = append(q.messages, message)
	select {
	case q.filled <- struct{}{}:
	default:
	}
	return dropped
}

func (q *queue) dropHeartbeat() bool {
	for i, m := range q.messages {
		if m.Beat != nil {
			q.messages = append(q.messages[:i], q.messages[i+1:]...)
			return true
		}
	}
	return false
}

// take removes and returns all waiting messages, oldest first.
func (q *queue) take() []wire.Message {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	messages := q.messages
	q.messages = nil
	return messages
}
