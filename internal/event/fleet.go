package event

import (
	"time"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// SendOrder sends an endpoint order to the platform. No byte of it is sent after Before.
type SendOrder struct {
	Seq    uint64
	Order  wire.EndpointOrder
	Before time.Duration
}

// OrderSent ends a SendOrder. Kind is "" when the platform answered with Reply, DeadlineExceeded when nothing was
// written, and OutcomeUnknown otherwise: the order may have taken effect.
type OrderSent struct {
	Seq   uint64
	Order wire.EndpointOrder
	Reply wire.OrderReply
	Kind  kinds.Kind
}

// DrainEndpoint is raised by the holder of the fleet duty before it orders an endpoint to stop. From then on no
// daemon sends new work to this endpoint incarnation.
type DrainEndpoint struct{ Mark wire.LeaveMark }

func (SendOrder) isEffect()    {}
func (OrderSent) isEvent()     {}
func (DrainEndpoint) isEvent() {}
