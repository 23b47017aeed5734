package relay

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/access"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/reach"
	"jasmineshed/internal/roster"
)

// Guards against a VM that asks a peer for no connection at all because that peer has no path to one server, and
// against one that goes on asking a peer that carries nothing or gives no answer.
func TestFailureToCarry(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	asked := peerServer{"peer", "10.0.0.1:80"}
	for _, c := range []struct {
		err       error
		backsOff  bool
		unreached bool
	}{
		{err: peers.ErrCarryDeclined, backsOff: true},
		{err: errors.New("no answer"), backsOff: true},
		{err: context.DeadlineExceeded, backsOff: true},
		{err: peers.ErrCarryUnreachable, unreached: true},
		{err: peers.ErrCarryPathLost, unreached: true},
		{err: peers.CarryClosedError{Rest: time.Second}, unreached: true},
	} {
		t.Run(c.err.Error(), func(t *testing.T) {
			carriers := newCarriers()
			carriers.recordFailure(now, asked, fmt.Errorf("carry: %w", c.err))
			require.Equal(t, c.backsOff, now.Before(carriers.backoffUntil[asked.vm]))
			require.Equal(t, c.unreached, now.Before(carriers.unreachedUntil[asked]))
		})
	}
}

// Guards against a VM that lost the path to one server and declines to carry connections to all others.
func TestRefusalToCarryNamesTheLostPath(t *testing.T) {
	now := time.Now()
	servers := []reach.Addr{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"}
	r := &Relay{roster: roster.New(roster.Config{}), access: access.New(), paths: newPaths()}
	call := peers.CarryCall{Addr: string(servers[0])}
	r.paths.table.Compared(now, servers[0], reach.Closed, reach.Answered, len(servers))
	require.Equal(t, peers.CarryPathLost, r.admitCarried(call).Refusal)
	for _, a := range servers[1:] {
		r.paths.table.Compared(now, a, reach.Closed, reach.Answered, len(servers))
	}
	require.True(t, r.paths.table.Isolated())
	require.Equal(t, peers.CarryDeclined, r.admitCarried(call).Refusal)
}
