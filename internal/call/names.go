package call

import (
	"net/http"
	"strconv"

	"github.com/figshift/figshift/internal/wire"
)

// Names are the fields of a head by which daemons and endpoints understand each other. A field that is "" is not used.
type Names struct {
	Request      string // id of the request
	Attempt      string // id of the attempt
	Organisation string
	Deadline     string // milliseconds that are left
	Expect       string // name of the endpoint that is meant; any other refuses
	NotRun       string // set on a refusal before any work
	Load         string
	Leaving      string // set on each answer of an endpoint that takes no new work
	Stamp        string // set on each answer that an endpoint made; one without it is not an answer
	Own          func(name string) bool
	// LoadOf returns the load in tokens that a Load field tells, -1 for one that can't be read.
	LoadOf func(value string) int
}

// OwnNames are those of the project's own protocol.
func OwnNames() Names {
	return Names{
		Request:      wire.HeaderRequest,
		Attempt:      wire.HeaderAttempt,
		Organisation: wire.HeaderOrganisation,
		NotRun:       wire.HeaderNotRun,
		Load:         wire.HeaderLoad,
		Leaving:      wire.HeaderLeaving,
		LoadOf:       ownLoad,
	}
}

func ownLoad(value string) int {
	load, err := strconv.Atoi(value)
	if err != nil || load < 0 {
		return -1
	}
	return load
}

// refused reports whether the endpoint says that it did not run the request and another might.
func (n *Names) refused(resp *http.Response) bool {
	if n.Expect != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	retriable := resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests
	said := resp.Header.Get(n.NotRun)
	return retriable && said != "" && said != "false"
}

// answers reports whether a response is the endpoint's answer to the request with this id: a late second answer to an
// earlier request may come in its place.
func (n *Names) answers(resp *http.Response, id string) bool {
	if n.Stamp == "" {
		return true
	}
	if echoed := resp.Header.Get(n.Request); echoed != "" && echoed != id {
		return false
	}
	return resp.StatusCode/100 != 2 || resp.Header.Get(n.Stamp) != ""
}

func (n *Names) load(h http.Header) int {
	if n.Load == "" || n.LoadOf == nil {
		return -1
	}
	return n.LoadOf(h.Get(n.Load))
}
