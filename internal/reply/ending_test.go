package reply_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/reply"
)

func TestVerdict(t *testing.T) {
	for name, c := range map[string]struct {
		ending reply.Ending
		want   reply.Verdict
	}{
		"server serves on":                    {reply.Ending{Serves: true}, reply.Whole},
		"server is gone":                      {reply.Ending{Together: 1}, reply.CutOff},
		"gone, others open":                   {reply.Ending{Together: 1, Open: 2}, reply.CutOff},
		"crashed and back":                    {reply.Ending{Crashed: true, Serves: true}, reply.CutOff},
		"crashed while it left":               {reply.Ending{Crashed: true, Leaving: true, Open: 1}, reply.CutOff},
		"leaves, others open":                 {reply.Ending{Leaving: true, Together: 4, Open: 1}, reply.Whole},
		"leaves, last answer":                 {reply.Ending{Leaving: true, Together: 1}, reply.Unproven},
		"leaves, last two answers":            {reply.Ending{Leaving: true, Together: 2}, reply.Unproven},
		"leaves, all answers end together":    {reply.Ending{Leaving: true, Together: 3}, reply.CutOff},
		"leaves, but still takes connections": {reply.Ending{Leaving: true, Serves: true, Together: 5}, reply.Whole},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.ending.Verdict()) })
	}
}
