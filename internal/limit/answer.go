// Package limit keeps the requests to endpoints within the limits that the endpoints name. A limit is a property of one
// incarnation of an endpoint and holds for the requests of all hosts together.
package limit

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// maxMalformedBytes is the number of bytes of a malformed limit that are kept for the log.
const maxMalformedBytes = 40

// Answered returns the event for an answer of an endpoint to a request that was sent at the time sent. value is that of
// the header field that names the limit, "" without the field. It may be called concurrently.
func Answered(endpoint wire.LeaveMark, sent time.Duration, value string) event.EndpointAnswered {
	answered := event.EndpointAnswered{Endpoint: endpoint.Endpoint, Incarnation: endpoint.Incarnation, Sent: sent}
	value = strings.TrimSpace(value)
	if value == "" {
		return answered
	}
	perSecond, err := strconv.ParseFloat(value, 64)
	if err != nil || perSecond < 0 || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		answered.Malformed = value[:min(len(value), maxMalformedBytes)]
		return answered
	}
	answered.Limited, answered.PerSecond = true, perSecond
	return answered
}
