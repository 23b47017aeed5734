package cmds

import (
	"runtime/debug"

	"jasmineshed/internal/host"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/quota"
)

// newAccount returns the account of what callers may make this process hold, and tells the runtime how much memory there
// is.
func newAccount(p *prefs.Prefs) (*quota.Account, error) {
	m, err := host.Limits(p.Limits.MemoryMB*prefs.Megabyte, p.Limits.Descriptors)
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(m.RuntimeLimit())
	return quota.New(m.Budget(p.Limits.Held())), nil
}
