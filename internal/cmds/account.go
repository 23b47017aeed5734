package cmds

import (
	"runtime/debug"

	"jasmineshed/internal/host"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/quota"
)

// megabyte is the unit of the setting memory_mb, in bytes.
const megabyte = 1_000_000

// newAccount returns the account of what callers may make this process hold, and tells the runtime how much memory there
// is.
func newAccount(p *prefs.Prefs) (*quota.Account, error) {
	m, err := host.Limits(p.Limits.MemoryMB*megabyte, p.Limits.Descriptors)
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(m.RuntimeLimit())
	return quota.New(m.Budget(p.Limits.Connections)), nil
}
