package roster

import (
	"time"

	shed "jasmineshed"
)

// ApplyAhead applies those items of an update that take servers out of use: servers that leave or are removed,
// and zones that are closed. It returns them. The whole update follows by Apply: until then the roster's
// revision, digest and last contact stay, so that peers don't take it for complete.
func (r *Roster) ApplyAhead(now time.Time, update Update) (applied []shed.Item, out []Change) {
	if r.asOf == 0 || update.Source == FromReplica {
		return nil, nil
	}
	for _, e := range update.Items {
		if e.Revision.Era() != r.asOf.Era() || !r.takesAway(now, update.Source, e) {
			continue
		}
		before := len(out)
		if e.Deleted {
			out = r.removeItem(now, out, update.Source, e.Key, e.Revision)
		} else {
			out = r.putItem(now, out, e)
		}
		if len(out) > before {
			applied = append(applied, e.Item)
		}
	}
	if len(applied) > 0 {
		r.reopen()
	}
	return applied, out
}

// takesAway reports whether an item takes servers out of use for certain. A server whose entry was removed may be
// alive if the store was out of contact meanwhile.
func (r *Roster) takesAway(now time.Time, source Source, e Entry) bool {
	if e.Deleted {
		old, ok := r.items[e.Key].Record.(shed.ServerEntry)
		return ok && (old.Leaving || source == FromPeer || r.inSteadyContact(now))
	}
	switch f := e.Record.(type) {
	case shed.ServerEntry:
		return f.Leaving
	case shed.ZoneClosed:
		return true
	}
	return false
}

// inSteadyContact reports whether the store has answered without a gap for as long as an entry that lapsed in one
// is kept.
func (r *Roster) inSteadyContact(now time.Time) bool {
	return !r.lastContact.IsZero() && now.Sub(r.lastAnswer) <= r.cfg.maxContactGap() &&
		!now.Before(r.contactSince.Add(r.cfg.LapseGrace))
}
