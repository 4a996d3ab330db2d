package flow

import (
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// logRequest logs one decision about a request, when LogRequests is set and the request has an ID.
func (p *Component) logRequest(now time.Duration, r *request, name string, out *event.Batch, fields ...event.Field) {
	if !p.LogRequests || r.arrived.ID == "" {
		return
	}
	all := []event.Field{{Key: "Request", Value: r.arrived.ID}, {Key: "AgeMS", Value: formatMillis(now - r.arrivedAt)}}
	out.Emit(event.Log{Level: "info", Event: name, Fields: append(all, fields...)})
}

// logRequestEnd logs the outcome of a request with its route, status, attempts and queue length.
func (p *Component) logRequestEnd(now time.Duration, r *request, kind kinds.Kind, out *event.Batch) {
	if !p.LogRequests {
		return
	}
	name, config := "RequestDone", "0"
	if kind != "" {
		name = "RequestFailed"
	}
	if p.site != nil {
		config = strconv.FormatUint(p.site.Revision, 10)
	}
	_, queueLen := p.Queue.Len(r.organisation)
	p.logRequest(now, r, name, out, event.Field{Key: "Kind", Value: string(kind)}, event.Field{Key: "Route", Value: r.route.Name},
		event.Field{Key: "Organisation", Value: r.organisation}, event.Field{Key: "Endpoint", Value: r.endpoint},
		event.Field{Key: "Status", Value: strconv.Itoa(r.status)}, event.Field{Key: "Tries", Value: strconv.Itoa(r.attempts)}, event.Field{Key: "Waiting", Value: strconv.Itoa(queueLen)},
		event.Field{Key: "Config", Value: config})
}

// logClosed logs that an endpoint closed the connection on which it ran a request: the request's content, how long it ran
// and how many other requests of this host ran there.
func (p *Component) logClosed(now time.Duration, r *request, endpoint wire.LeaveMark, out *event.Batch) {
	p.logRequest(now, r, "ConnectionClosed", out,
		event.Field{Key: "Endpoint", Value: r.endpoint},
		event.Field{Key: "Organisation", Value: r.organisation},
		event.Field{Key: "Digest", Value: r.arrived.Digest},
		event.Field{Key: "RanMS", Value: formatMillis(now - r.sentAt)},
		event.Field{Key: "Beside", Value: strconv.Itoa(p.table.Running(endpoint) - 1)},
	)
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
