package event

import (
	"time"

	"github.com/figshift/figshift/internal/kinds"
)

// SwapEngine orders one engine to load a version; EngineSwapped answers with the engine's true version.
// The order is not sent after Before, the deadline of the lease that it is given under.
type SwapEngine struct {
	Duty     string
	Epoch    uint64
	OrderID  string
	Endpoint string
	Address  string // host:port
	Model    string
	Version  uint64
	Before   time.Duration
	Timeout  time.Duration // time allowed for the swap after the order

	// The following are for engines that hold several models.

	Holder      string // host that gives the order
	Incarnation string
}

// EngineSwapped ends a SwapEngine. Version is what the engine itself reports, 0 when it could not be read.
type EngineSwapped struct {
	Duty     string
	Epoch    uint64
	OrderID  string
	Endpoint string
	Version  uint64
	Kind     kinds.Kind // "" when the engine reports the ordered version
}

// ReadEngine reads an engine's true state; EngineRead answers.
type ReadEngine struct {
	Duty     string
	Endpoint string
	Address  string
}

// EngineRead ends a ReadEngine.
type EngineRead struct {
	Duty        string
	Endpoint    string
	Incarnation string
	Version     uint64
	Kind        kinds.Kind
}

func (SwapEngine) isEffect()   {}
func (EngineSwapped) isEvent() {}
func (ReadEngine) isEffect()   {}
func (EngineRead) isEvent()    {}
