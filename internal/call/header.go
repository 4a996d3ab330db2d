package call

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/figshift/figshift/internal/wire"
)

const ownPrefix = "X-Figshift-"

// hopByHop are the fields that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Forwardable returns the fields of h that may go on: without those of the connection, those that the
// Connection field names, and figshift's own. It may be called concurrently.
func Forwardable(h http.Header) http.Header {
	named := map[string]bool{}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))] = true
		}
	}
	for _, name := range hopByHop {
		named[name] = true
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		key := textproto.CanonicalMIMEHeaderKey(name)
		if !named[key] && !isOwn(key) {
			out[key] = append(out[key], values...)
		}
	}
	return out
}

// isOwn reports whether a field is figshift's own; separators and case do not matter, since some
// endpoints take an underscore for a hyphen.
func isOwn(name string) bool {
	plain := strings.ReplaceAll(strings.ToLower(name), "_", "-")
	switch plain {
	case strings.ToLower(wire.HeaderNotRun), strings.ToLower(wire.HeaderLoad), strings.ToLower(wire.HeaderLeaving):
		return true
	case "organisation", "organization", "x-organisation", "x-organization":
		return true
	}
	return strings.HasPrefix(plain, strings.ToLower(ownPrefix))
}
