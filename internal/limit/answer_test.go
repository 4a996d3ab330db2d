package limit_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/wire"
)

func TestAnsweredValues(t *testing.T) {
	cases := map[string]struct {
		value string
		want  event.EndpointAnswered
	}{
		"no field":        {"", event.EndpointAnswered{}},
		"blank":           {"  ", event.EndpointAnswered{}},
		"whole":           {"4", event.EndpointAnswered{Limited: true, PerSecond: 4}},
		"fraction":        {" 1.25 ", event.EndpointAnswered{Limited: true, PerSecond: 1.25}},
		"zero":            {"0", event.EndpointAnswered{Limited: true}},
		"negative":        {"-2", event.EndpointAnswered{Malformed: "-2"}},
		"infinite":        {"+Inf", event.EndpointAnswered{Malformed: "+Inf"}},
		"not a number":    {"NaN", event.EndpointAnswered{Malformed: "NaN"}},
		"out of range":    {"1e999", event.EndpointAnswered{Malformed: "1e999"}},
		"no decimal":      {"four", event.EndpointAnswered{Malformed: "four"}},
		"two values":      {"4, 5", event.EndpointAnswered{Malformed: "4, 5"}},
		"long and no end": {strings.Repeat("9x", 40), event.EndpointAnswered{Malformed: strings.Repeat("9x", 20)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.want.Endpoint, c.want.Incarnation, c.want.Sent = "e1", "7", time.Second
			got := limit.Answered(wire.LeaveMark{Endpoint: "e1", Incarnation: "7"}, time.Second, c.value)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("event for %q (-want +got):\n%s", c.value, diff)
			}
		})
	}
}
