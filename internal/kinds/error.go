package kinds

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is an error with a kind and a readable detail.
type Error struct {
	Kind   Kind
	Detail string
}

// Error returns the kind and the detail on one line.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Detail
}

// New returns an error of kind k. The detail is formatted as by fmt.Sprintf.
func New(k Kind, format string, args ...any) error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// KindOf returns the kind of err, Internal if err wraps no Error, and "" if err is nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
