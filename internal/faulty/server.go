// Package faulty is a stand-in for servers in trouble, for tests: their answers are bytes that need not be sound, and come before
// the request has arrived.
package faulty

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

const (
	// receiveBuffer is the size of the buffer for unread bytes of a request, as small as the kernel allows.
	receiveBuffer = 1 << 10
	// answerTime is the time for which a connection stays as it is after an answer, so that the answer arrives.
	answerTime = 20 * time.Millisecond
	// LongBody is the size of a body that is larger than the kernel's buffers, so that it is still being written when the answer
	// to its head has come.
	LongBody = 3_900_000
)

// Ending is what becomes of a connection after an answer.
type Ending int

const (
	// Reset resets the connection while the rest of the request is unread.
	Reset Ending = iota
	// Unread closes the connection while the rest of the request is unread, which the kernel tells by a reset.
	Unread
	// Gone ends the server's side and resets the connection at once, as the kernel does when a process that has read all that
	// had come is gone, and more comes.
	Gone
	// Drained ends the server's side of the connection and then reads the rest of the request (RFC 9112, section 9.6).
	Drained
	// Stuck ends the server's side of the connection and reads nothing more.
	Stuck
	// Read reads the whole request before the answer and then closes the connection.
	Read
	// Kept keeps the connection open after the answer, as if another request could come.
	Kept
)

// Resets are the endings that reset the connection while a request is being written, and Ends those that end the server's side
// properly, by name.
var (
	Resets = map[string]Ending{"Reset": Reset, "Unread": Unread, "Gone": Gone}
	Ends   = map[string]Ending{"Drained": Drained, "Stuck": Stuck}
)

// Answer is an answer to a request: its bytes, from the status line on, and what becomes of the connection.
type Answer struct {
	Text   string
	Ending Ending
}

// Always returns a function for Start that gives every request the same answer.
func Always(text string, ending Ending) func(*http.Request) Answer {
	return func(*http.Request) Answer { return Answer{text, ending} }
}

// Start starts a server and returns its address. It ends with the test. It answers one request on each connection with the
// result of answer, which is called with the request's head and may be called concurrently.
func Start(tb testing.TB, answer func(*http.Request) Answer) (address string) {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	setReceiveBuffer(tb, listener.(*net.TCPListener))
	done := make(chan struct{})
	tb.Cleanup(func() {
		close(done)
		_ = listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test is over
			}
			go serve(conn.(*net.TCPConn), answer, done)
		}
	}()
	return listener.Addr().String()
}

// setReceiveBuffer sets the size of the receive buffers of accepted connections.
func setReceiveBuffer(tb testing.TB, listener *net.TCPListener) {
	tb.Helper()
	raw, err := listener.SyscallConn()
	if err != nil {
		tb.Fatal(err)
	}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		sockoptErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	if err != nil || sockoptErr != nil {
		tb.Fatal(err, sockoptErr)
	}
}

func serve(conn *net.TCPConn, answer func(*http.Request) Answer, done <-chan struct{}) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil {
		return // the test sees that the answer is missing
	}
	a := answer(req)
	if a.Ending == Read {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	if _, err := io.WriteString(conn, a.Text); err != nil {
		return
	}
	switch a.Ending {
	case Reset:
		time.Sleep(answerTime)
		_ = conn.SetLinger(0)
	case Unread:
		time.Sleep(answerTime)
	case Gone:
		_ = conn.CloseWrite()
		_ = conn.SetLinger(0)
	case Drained:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	case Stuck:
		_ = conn.CloseWrite()
		<-done
	case Kept:
		<-done
	case Read:
	}
}
