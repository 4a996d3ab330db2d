package proofs

import (
	"testing"

	"github.com/figshift/figshift/figbed/internal/proc"
)

func TestMain(m *testing.M) { proc.Main(m) }
