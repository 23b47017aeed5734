package relay

import (
	"slices"

	shed "jasmineshed"
)

// readings are the answers to a watch of the store that are not applied yet. It is guarded by Relay.mu.
type readings struct {
	// pending is what has been read since the reading that is being applied; nil if nothing.
	pending *storeReading
	// asOf is the revision of the last reading. applying: one is being applied.
	asOf     shed.Revision
	applying bool
}

// readUpTo returns the revision up to which changes have been read, applied or not. The caller holds mu.
func (r *Relay) readUpTo() shed.Revision {
	if r.readings.applying {
		return max(r.readings.asOf, r.roster.AsOf())
	}
	return r.roster.AsOf()
}

// isApplyingReadings reports whether answers to a watch of the store are being applied.
func (r *Relay) isApplyingReadings() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readings.applying
}

// queueReading has an answer to a watch of the store applied, and joins it with others that wait: the next answer
// may say that a server leaves, and isn't awaited while a configuration is parsed.
func (r *Relay) queueReading(rd storeReading) {
	r.applyAhead(rd)
	r.mu.Lock()
	defer r.mu.Unlock()
	q := &r.readings
	if q.pending == nil {
		q.pending = &rd
	} else {
		q.pending.entries, q.pending.asOf = slices.Concat(q.pending.entries, rd.entries), rd.asOf
	}
	q.asOf = rd.asOf
	if q.applying {
		return
	}
	q.applying = true
	r.work.Go(func() error {
		for r.applyPending() {
		}
		return nil
	})
}

// applyPending applies what waits; it returns false if nothing does.
func (r *Relay) applyPending() bool {
	r.mu.Lock()
	rd := r.readings.pending
	r.readings.pending, r.readings.applying = nil, rd != nil
	r.mu.Unlock()
	if rd == nil {
		return false
	}
	r.applyAll(*rd)
	return true
}
