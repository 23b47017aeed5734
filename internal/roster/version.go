package roster

import (
	"time"

	shed "jasmineshed"
)

// freshContact is how old the store's last answer may be for the list of servers to count as complete.
const freshContact = 2 * time.Second

// OnlyVersion returns the software version of the pool's servers if the daemon knows that all servers
// listed within the last period ran the same one. ok is false if several did, or if it doesn't know.
func (r *Roster) OnlyVersion(now time.Time, pool shed.PoolID, period time.Duration) (version shed.SoftwareVersion, ok bool) {
	if now.Sub(r.lastContact) > freshContact || now.Sub(r.firstContact) < period {
		return "", false
	}
	for _, s := range r.servers {
		if s.Pool != pool {
			continue
		}
		if ok && s.Version != version {
			return "", false
		}
		version, ok = s.Version, true
	}
	for former, until := range r.pastVersions[pool] {
		if now.Sub(until) >= period {
			continue
		}
		if ok && former != version {
			return "", false
		}
		version, ok = former, true
	}
	return version, ok
}

// recordPastVersion records that a server of its pool's version is no longer listed.
func (r *Roster) recordPastVersion(now time.Time, s shed.ServerEntry) {
	past := r.pastVersions[s.Pool]
	if past == nil {
		past = map[shed.SoftwareVersion]time.Time{}
		r.pastVersions[s.Pool] = past
	}
	past[s.Version] = now
}

// prunePastVersions forgets versions that ended long ago.
func (r *Roster) prunePastVersions(now time.Time) {
	for pool, past := range r.pastVersions {
		for version, until := range past {
			if now.Sub(until) > goneRetention {
				delete(past, version)
			}
		}
		if len(past) == 0 {
			delete(r.pastVersions, pool)
		}
	}
}
