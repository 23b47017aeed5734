package rules

import (
	"testing"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

const small = `; a small system
[zones]
nl-west-a = region nl ; platform group
nl-west-b = region nl, out yes ; platform group
[suppliers]
noord = leaving no ; board
[models]
draft-7b = version 3, adapters captions warnings ; captions desk
[pools]
draft = kind generate, model draft-7b, unit 2.5 ; captions desk
playout = kind service ; playout desk
[servers]
gen-a-1 = pool draft, zone nl-west-a, supplier noord, url http://127.0.0.1:9001, capacity 8, cold_bears 2, checks_caller yes, fenced yes ; operations
pub-a-1 = pool playout, zone nl-west-a, supplier noord, url http://127.0.0.1:9002, capacity 4, cold_bears 1 ; operations
[pipelines]
caption = deadline 6s, stages draft publish ; captions desk
[stages]
caption/draft = kind generate, pool draft, minimum 200ms ; captions desk
caption/publish = kind service, pool playout, minimum 50ms, idempotent no, zones nl-west-a ; playout desk
[workspaces]
noord-tv = share 4, token_sha256 ` + someHash + `, pipelines caption ; noord-tv
[limits]
weight_loads = 4 ; platform group
`

const someHash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func TestParseSmall(t *testing.T) {
	r, faults := Parse([]byte(small), 7)
	require.Empty(t, faults)
	require.Equal(t, shed.Revision(7), r.Revision)
	require.Equal(t, 4, r.WeightLoads)
	require.True(t, r.Zones["nl-west-b"].Out)
	require.Equal(t, "platform group", r.Zones["nl-west-b"].Asked)
	require.Equal(t, 4, r.Zones["nl-west-b"].Line)
	require.False(t, r.Pipelines["caption"].Idempotent())
	require.Len(t, r.Pools["draft"].Servers, 1)
	require.Equal(t, "http://127.0.0.1:9001", r.Servers["gen-a-1"].URL)
}
