package share

import (
	"time"

	shed "jasmineshed"
)

// Over reports whether a workspace asks for more than its share of the pool now, while others want
// theirs. Only the demand at the rank at which the pool's rate is used up is compared: more urgent demand
// is covered, and nothing is left to share for less urgent ranks.
func (t *Table) Over(now time.Time, workspace shed.WorkspaceID) bool {
	rank, left := t.contended(now)
	return rank < ranks && t.exceeds(now, workspace, rank, left)
}

// Workspaces returns the number of workspaces that are counted separately.
func (t *Table) Workspaces() int { return len(t.entries) }
