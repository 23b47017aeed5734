package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

func TestCrashUpdateOnTheWire(t *testing.T) {
	ran := time.Second
	update := shed.CrashUpdate{All: true, RecentCrashes: []shed.ServerCrash{{Start: shed.ServerStart{Server: "i-1", StartedMs: 7}, Age: time.Minute}}, Suspects: []shed.Suspect{{
		Request: shed.Fingerprint{1, 2}, Workspace: "w", SurvivedAgo: &ran,
		Crashes: []shed.ServerCrash{{Start: shed.ServerStart{Server: "i-2"}, Age: time.Second}},
	}}}
	sent, err := newEnvelope(shed.Peer{VM: "vm", Incarnation: 1}, update)
	require.NoError(t, err)
	data, err := wire.Marshal(&sent)
	require.NoError(t, err)
	var got envelope
	require.NoError(t, wire.Unmarshal(data, &got))
	decoded, err := got.unwrap()
	require.NoError(t, err)
	require.Equal(t, update, decoded)
	require.Less(t, len(data), 160)
}
