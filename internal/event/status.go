package event

import "github.com/figshift/figshift/internal/wire"

// StatusAsked asks every component for its part of a status report.
type StatusAsked struct{ Seq uint64 }

// StatusPart is one component's part of a status report; fields that the component does not fill are zero.
type StatusPart struct {
	Seq    uint64
	Status wire.Status
}

// AuthoriseCall asks whether a key may be used now, for calls that figshift answers itself; CallAuthorised answers.
type AuthoriseCall struct {
	Owner   string
	Seq     uint64
	KeyHash string
}

func (StatusAsked) isEvent()   {}
func (StatusPart) isEffect()   {}
func (AuthoriseCall) isEvent() {}

// StatusDone marks the end of the StatusPart effects of one status report.
type StatusDone struct{ Seq uint64 }

// DrainBegun is raised by a component, in the step of StopAsked or later, that has to finish work before the process may
// end. Each DrainBegun is followed by a DrainEnded with the same Owner.
type DrainBegun struct{ Owner string }

// DrainEnded is raised by a component that has finished the work announced by its DrainBegun.
type DrainEnded struct{ Owner string }

func (StatusDone) isEffect() {}
func (DrainBegun) isEvent()  {}
func (DrainEnded) isEvent()  {}
