package proofs

import (
	"testing"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/toxic"
)

func TestMain(m *testing.M) {
	proc.NewProxy = toxic.New
	proc.Main(m)
}
