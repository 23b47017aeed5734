package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

func TestCrashNewsOnTheWire(t *testing.T) {
	ran := time.Second
	news := shed.CrashUpdate{All: true, RecentCrashes: []shed.ServerCrash{{Start: shed.ServerStart{Server: "i-1", StartedMs: 7}, Age: time.Minute}}, Suspects: []shed.Suspect{{
		Request: shed.Fingerprint{1, 2}, Workspace: "w", SurvivedAgo: &ran,
		Crashes: []shed.ServerCrash{{Start: shed.ServerStart{Server: "i-2"}, Age: time.Second}},
	}}}
	sealed, err := seal(shed.Peer{VM: "vm", Incarnation: 1}, news)
	require.NoError(t, err)
	data, err := wire.Marshal(&sealed)
	require.NoError(t, err)
	var got envelope
	require.NoError(t, wire.Unmarshal(data, &got))
	back, err := got.open()
	require.NoError(t, err)
	require.Equal(t, news, back)
	require.Less(t, len(data), 160)
}
