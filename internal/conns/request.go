package conns

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// NewRequest returns a request without a body whose target, path and query, is sent byte for byte. A package that builds requests
// from URLs would escape bytes that callers may send, as in "/a|b", and drop what follows a "#". It returns an error for a target
// that can't be sent; an empty one is "/". It may be called concurrently.
func NewRequest(ctx context.Context, method, address, target string) (*http.Request, error) {
	target = cmp.Or(target, "/")
	if err := CheckTarget(target); err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, nil)
	if err != nil {
		return nil, err
	}
	if req.URL.RequestURI() == target {
		return req, nil
	}
	req.URL = &url.URL{Scheme: "http", Host: address, Opaque: target}
	if req.URL.RequestURI() != target { // net/url takes two slashes at the start for a host
		return nil, errors.Errorf("the target %q can't be sent as it is", target)
	}
	return req, nil
}

// CheckTarget returns an error if a text is no path, with or without a query, that a request line can hold.
func CheckTarget(target string) error {
	if !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return errors.Errorf("%q is not a target", target)
	}
	if _, err := url.ParseRequestURI(target); err != nil {
		return errors.Wrap(err, "parsing a target")
	}
	return nil
}

// CheckField returns an error if a head can't hold a field.
func CheckField(name, value string) error {
	if name == "" || strings.ContainsFunc(name, func(r rune) bool { return !isTokenRune(r) }) {
		return errors.Errorf("%q is not the name of a field", name)
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
		return errors.Errorf("the value of the field %q holds a control character", name)
	}
	return nil
}

func isTokenRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
