package call

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/figshift/figshift/internal/wire"
)

const headerPrefix = "X-Figshift-"

// hopByHop lists the fields that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ForwardableHeader returns the fields of h that may be forwarded: without hop-by-hop fields, those that the Connection
// field names, and figshift's own. It may be called concurrently.
func ForwardableHeader(h http.Header) http.Header {
	dropped := map[string]bool{}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))] = true
		}
	}
	for _, name := range hopByHop {
		dropped[name] = true
	}
	forwarded := make(http.Header, len(h))
	for name, values := range h {
		key := textproto.CanonicalMIMEHeaderKey(name)
		if !dropped[key] && !isInternalHeader(key) {
			forwarded[key] = append(forwarded[key], values...)
		}
	}
	return forwarded
}

// isInternalHeader reports whether a field is figshift's own. It ignores case and treats an underscore as a hyphen, as
// some endpoints do.
func isInternalHeader(name string) bool {
	normalized := strings.ReplaceAll(strings.ToLower(name), "_", "-")
	switch normalized {
	case strings.ToLower(wire.HeaderNotRun), strings.ToLower(wire.HeaderLoad), strings.ToLower(wire.HeaderLeaving), strings.ToLower(wire.HeaderLimit):
		return true
	case "organisation", "organization", "x-organisation", "x-organization":
		return true
	}
	return strings.HasPrefix(normalized, strings.ToLower(headerPrefix))
}
