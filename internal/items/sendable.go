package items

import (
	"net/http"
	"strings"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// checkSendable returns an error of kind BadRequest if an item of a job, or the call for its score, can't be sent as a request. Its
// failures would count for the engines.
func checkSendable(job *wire.Job) error {
	for i := range job.Items {
		if err := checkItem(&job.Items[i]); err != nil {
			return kinds.New(kinds.BadRequest, "item %q can't be sent: %v", job.Items[i].ID, err)
		}
	}
	return nil
}

func checkItem(item *wire.JobItem) error {
	if err := checkRequest(item.ID, item.Path); err != nil {
		return err
	}
	for name, value := range item.Headers {
		if err := conns.CheckField(name, value); err != nil {
			return err
		}
	}
	if item.Reward == nil {
		return nil
	}
	return checkRequest(item.Reward.ID, item.Reward.Path)
}

// checkRequest returns an error if a request can't have an id, which its answer repeats in a field, or a target.
func checkRequest(id, target string) error {
	if strings.TrimSpace(id) != id {
		return kinds.New(kinds.BadRequest, "the id %q begins or ends with a blank", id)
	}
	if err := conns.CheckField("Id", id); err != nil {
		return err
	}
	return conns.CheckTarget(target)
}

// itemHeader returns the fields of an item that are sent with it: neither those of a connection nor those that figshift sets itself.
func (x *Executor) itemHeader(item *wire.JobItem) (http.Header, error) {
	h := make(http.Header, len(item.Headers))
	for name, value := range item.Headers {
		if err := conns.CheckField(name, value); err != nil {
			return nil, err // of a job that an older build has accepted
		}
		h.Set(name, value)
	}
	h = call.ForwardableHeader(h)
	for _, name := range []string{"Expect", "Content-Length", x.Names.LastEvent, x.Names.RequiredVersion} {
		h.Del(name)
	}
	return h, nil
}
