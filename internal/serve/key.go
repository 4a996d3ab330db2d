package serve

import (
	"encoding/base64"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/kinds"
)

const bearer = "Bearer "

// credentialNames are the fields and query parameters that carry credentials, lower case with hyphens.
var credentialNames = map[string]bool{
	"authorization": true, "x-api-key": true, "api-key": true, "apikey": true, "access-token": true,
	"x-access-token": true, "x-auth-token": true, "auth-token": true,
}

// presentedKey returns the key that a request presents, "" for none.
func presentedKey(h http.Header) (string, error) {
	var found []string
	for _, value := range h.Values("Authorization") {
		if len(value) > len(bearer) && strings.EqualFold(value[:len(bearer)], bearer) {
			found = append(found, strings.TrimSpace(value[len(bearer):]))
		}
	}
	for _, value := range h.Values("X-Api-Key") {
		found = append(found, strings.TrimSpace(value))
	}
	for i := range found {
		if found[i] != found[0] {
			return "", kinds.New(kinds.BadRequest, "the request presents two keys")
		}
	}
	if len(found) == 0 {
		return "", nil
	}
	return found[0], nil
}

// stripped is what may go on of a request's head.
type stripped struct {
	header http.Header
	target string
}

// strip removes the key and every credential from a request's head. A key in the path is refused.
func strip(r *http.Request, key string) (stripped, error) {
	if key != "" && (strings.Contains(r.URL.Path, key) || strings.Contains(r.URL.EscapedPath(), key)) {
		return stripped{}, kinds.New(kinds.BadRequest, "the path carries the key")
	}
	s := stripped{header: call.Forwardable(r.Header), target: r.URL.EscapedPath()}
	for name, values := range s.header {
		if credentialNames[hyphened(name)] || carries(key, append(values, name)...) {
			delete(s.header, name)
		}
	}
	if query := stripQuery(r.URL.RawQuery, key); query != "" {
		s.target += "?" + query
	}
	return s, nil
}

func hyphened(name string) string {
	return strings.ReplaceAll(strings.ToLower(textproto.TrimString(name)), "_", "-")
}

// stripQuery keeps the parameters that are no credentials, in their order and encoding.
func stripQuery(raw, key string) string {
	var kept []string
	for _, pair := range strings.FieldsFunc(raw, func(c rune) bool { return c == '&' || c == ';' }) {
		name, value, _ := strings.Cut(pair, "=")
		if !credentialNames[hyphened(unescape(name))] && !carries(key, pair, name, value) {
			kept = append(kept, pair)
		}
	}
	return strings.Join(kept, "&")
}

// carries reports whether a value holds the key, plain, escaped or in base64.
func carries(key string, values ...string) bool {
	if key == "" {
		return false
	}
	for _, value := range values {
		plain := unescape(value)
		if strings.Contains(value, key) || strings.Contains(plain, key) || strings.Contains(unescape(plain), key) || encodes(value, key) {
			return true
		}
	}
	return false
}

// encodes reports whether a word of a value is base64 of something that holds the key.
func encodes(value, key string) bool {
	for _, word := range strings.FieldsFunc(value, func(c rune) bool { return c == ' ' || c == ',' || c == ';' || c == ':' }) {
		word = strings.TrimRight(word, "=")
		for _, coding := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
			if plain, err := coding.DecodeString(word); err == nil && strings.Contains(string(plain), key) {
				return true
			}
		}
	}
	return false
}

func unescape(s string) string {
	plain, err := url.QueryUnescape(s)
	if err != nil {
		return s
	}
	return plain
}
