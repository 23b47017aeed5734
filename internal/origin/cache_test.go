package origin_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/origin"
)

// Guards against a server that has only read a prompt, or written less of the stream than its caller has, being taken
// for the one that wrote it.
func TestOnlyTheWriterOfAStreamHoldsItsTokens(t *testing.T) {
	head := shed.RequestHead{LastEventID: "12", Prompt: []shed.PromptPart{{ID: "a", Tokens: 800}, {ID: "b", Tokens: 50}}}
	wanted, ok := origin.WantedFor(&head)
	require.True(t, ok)
	for _, c := range []struct {
		cache []shed.PromptPart
		isIn  bool
	}{
		{nil, false},
		{[]shed.PromptPart{{ID: "a", Tokens: 900}}, false},
		{[]shed.PromptPart{{ID: "a", Tokens: 800}, {ID: "b", Tokens: 50}}, false},
		{[]shed.PromptPart{{ID: "a", Tokens: 800}, {ID: "b", Tokens: 61}}, false},
		{[]shed.PromptPart{{ID: "a", Tokens: 800}, {ID: "b", Tokens: 62}}, true},
	} {
		require.Equal(t, c.isIn, wanted.IsIn(c.cache), c.cache)
	}
	for _, head := range []shed.RequestHead{{LastEventID: "12"}, {Prompt: head.Prompt}, {LastEventID: "x", Prompt: head.Prompt}} {
		_, ok := origin.WantedFor(&head)
		require.False(t, ok, head)
	}
}

// Guards against a guess if servers of two versions hold a stream.
func TestAgreedVersion(t *testing.T) {
	for _, c := range []struct {
		versions []shed.SoftwareVersion
		want     shed.SoftwareVersion
		ok       bool
	}{
		{nil, "", false},
		{[]shed.SoftwareVersion{"v1"}, "v1", true},
		{[]shed.SoftwareVersion{"v2", "v2"}, "v2", true},
		{[]shed.SoftwareVersion{"v1", "v2"}, "", false},
	} {
		got, ok := origin.Agreed(c.versions)
		require.Equal(t, c.ok, ok, c.versions)
		require.Equal(t, c.want, got, c.versions)
	}
}
