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

const bearerPrefix = "Bearer "

// credentialNames lists the header fields and query parameters that hold credentials, in lower case with hyphens.
var credentialNames = map[string]bool{
	"authorization": true, "x-api-key": true, "api-key": true, "apikey": true, "access-token": true,
	"x-access-token": true, "x-auth-token": true, "auth-token": true,
}

// presentedKey returns the API key in the header of a request, "" for none.
func presentedKey(h http.Header) (string, error) {
	var candidates []string
	for _, value := range h.Values("Authorization") {
		if len(value) > len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
			candidates = append(candidates, strings.TrimSpace(value[len(bearerPrefix):]))
		}
	}
	for _, value := range h.Values("X-Api-Key") {
		candidates = append(candidates, strings.TrimSpace(value))
	}
	for i := range candidates {
		if candidates[i] != candidates[0] {
			return "", kinds.New(kinds.BadRequest, "the request has two different API keys")
		}
	}
	if len(candidates) == 0 {
		return "", nil
	}
	return candidates[0], nil
}

// sanitizedHead is the part of a request's head that may be forwarded.
type sanitizedHead struct {
	header http.Header
	target string
}

// sanitizeHead removes the API key and all other credentials from the head of a request. It returns an error for a path
// that contains the key.
func sanitizeHead(r *http.Request, key string) (sanitizedHead, error) {
	if key != "" && (strings.Contains(r.URL.Path, key) || strings.Contains(r.URL.EscapedPath(), key)) {
		return sanitizedHead{}, kinds.New(kinds.BadRequest, "the path contains the API key")
	}
	path, _, _ := strings.Cut(Target(r), "?")
	sanitized := sanitizedHead{header: call.ForwardableHeader(r.Header), target: path}
	for name, values := range sanitized.header {
		if credentialNames[normalizeName(name)] || containsKey(key, append(values, name)...) {
			delete(sanitized.header, name)
		}
	}
	if query := sanitizeQuery(r.URL.RawQuery, key); query != "" {
		sanitized.target += "?" + query
	}
	return sanitized, nil
}

// Target returns the path and query of a request as the caller sent them. It may be called concurrently.
func Target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // the caller took this host for a proxy and sent a URL
}

func normalizeName(name string) string {
	return strings.ReplaceAll(strings.ToLower(textproto.TrimString(name)), "_", "-")
}

// sanitizeQuery drops the parameters that hold credentials. The others keep their order and encoding.
func sanitizeQuery(raw, key string) string {
	var kept []string
	for _, pair := range strings.FieldsFunc(raw, func(c rune) bool { return c == '&' || c == ';' }) {
		name, value, _ := strings.Cut(pair, "=")
		if !credentialNames[normalizeName(unescape(name))] && !containsKey(key, pair, name, value) {
			kept = append(kept, pair)
		}
	}
	return strings.Join(kept, "&")
}

// containsKey reports whether a value contains the key as plain text, percent-encoded once or twice, or in base64.
func containsKey(key string, values ...string) bool {
	if key == "" {
		return false
	}
	for _, value := range values {
		plain := unescape(value)
		if strings.Contains(value, key) || strings.Contains(plain, key) || strings.Contains(unescape(plain), key) || containsEncodedKey(value, key) {
			return true
		}
	}
	return false
}

// containsEncodedKey reports whether a word of value is the base64 encoding of a text that contains the key.
func containsEncodedKey(value, key string) bool {
	for _, word := range strings.FieldsFunc(value, func(c rune) bool { return c == ' ' || c == ',' || c == ';' || c == ':' }) {
		word = strings.TrimRight(word, "=")
		for _, encoding := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
			if plain, err := encoding.DecodeString(word); err == nil && strings.Contains(string(plain), key) {
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
