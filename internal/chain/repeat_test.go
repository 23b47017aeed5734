package chain_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/chain"
)

// Guards against steps that run again although their results exist, and against ones that are not run
// again although others need their results.
func TestOnlyLostResultsAreMadeAgain(t *testing.T) {
	// Steps 0, 1 and 2 form a path, 3 is by itself, 4 needs 1 and 3.
	c := chain.Chain{{}, {After: []int{0}}, {After: []int{1}}, {}, {After: []int{1, 3}}}
	for _, tt := range []struct {
		name   string
		ends   []chain.End
		repeat []bool
	}{
		{"nothing lost", []chain.End{chain.Freed, chain.Freed, chain.Complete, chain.Freed, chain.Complete}, []bool{false, false, false, false, false}},
		{"first results lost", []chain.End{chain.Complete, chain.InputsGone, chain.NotRun, chain.Complete, chain.NotRun}, []bool{true, true, true, false, true}},
		{"results lost whose inputs were freed", []chain.End{chain.Freed, chain.Complete, chain.InputsGone, chain.Freed, chain.Complete}, []bool{true, true, true, false, false}},
		{"lost by the last step", []chain.End{chain.Freed, chain.Complete, chain.Complete, chain.Complete, chain.InputsGone}, []bool{true, true, false, true, true}},
	} {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.repeat, c.Repeat(tt.ends)) })
	}
}
