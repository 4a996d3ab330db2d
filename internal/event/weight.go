package event

import (
	"time"

	"github.com/figshift/figshift/internal/kinds"
)

// SwapEngine orders one engine to load a weight version; EngineSwapped answers with the version that the engine
// itself reports. The order is not sent after Before, when the lease under which it is given expires.
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

	// The following fields are for engines that hold several models.
	Holder      string // host that gives the order
	Incarnation string
}

// EngineSwapped ends a SwapEngine. Version is what the engine itself reports, 0 if it could not be read.
type EngineSwapped struct {
	Duty     string
	Epoch    uint64
	OrderID  string
	Endpoint string
	Version  uint64
	Kind     kinds.Kind // "" when the engine reports the ordered version
}

// ReadEngine reads an engine's actual state; EngineRead answers.
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
