package roster

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
	"jasmineshed/internal/delta"
)

// ChangesSince returns the changes after a revision, for a peer that doesn't read the store
// itself: items sorted by key, then deletions. If after is 0, it returns all items.
func (r *Roster) ChangesSince(after shed.Revision) []shed.Item {
	var out []shed.Item
	for _, key := range r.sortedKeys() {
		if h := r.items[key]; h.Revision > after {
			out = append(out, h.Item)
		}
	}
	if after == 0 {
		return out
	}
	gone := make([]string, 0, len(r.deleted))
	for key, rev := range r.deleted {
		if rev > after && !r.holds(key) {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	for _, key := range gone {
		out = append(out, shed.Item{Key: key, Revision: r.deleted[key], Deleted: true})
	}
	return out
}

// Item returns the item of a key; the zero value if there is none.
func (r *Roster) Item(key string) shed.Item {
	return r.items[key].Item
}

// ItemAt returns the item that a key had as of a revision, if the roster has it or recently
// replaced it; else the zero value. A peer whose state is complete up to that revision has the
// same item, so a large value can be sent as the difference to it.
func (r *Roster) ItemAt(key string, asOf shed.Revision) shed.Item {
	if h, ok := r.items[key]; ok && h.Revision <= asOf {
		return h.Item
	}
	past := r.pastItems[key]
	for i := len(past) - 1; i >= 0; i-- {
		if past[i].Revision <= asOf {
			return past[i]
		}
	}
	return shed.Item{}
}

// maxPast is how many replaced items of a key with a large value are kept: lagging peers miss
// only the last few versions.
const maxPast = 3

// savePast keeps an item that is about to be replaced, if its value is large.
func (r *Roster) savePast(old shed.Item) {
	if !delta.IsLarge(old) {
		return
	}
	past := slices.Concat(r.pastItems[old.Key], []shed.Item{old})
	r.pastItems[old.Key] = past[max(0, len(past)-maxPast):]
}

// Digest is a hash of all items, equal on all daemons that hold the same items.
func (r *Roster) Digest() uint64 { return r.digest }

func (r *Roster) computeDigest() uint64 {
	var d xxhash.Digest
	d.Reset()
	var num [8]byte
	for _, key := range r.sortedKeys() {
		// A write to a digest can't fail.
		_, _ = d.WriteString(key)
		binary.LittleEndian.PutUint64(num[:], uint64(r.items[key].Revision))
		_, _ = d.Write(num[:])
	}
	return d.Sum64()
}

// Confirm records that the store answered a peer at that time, and that this daemon's state
// equals the peer's.
func (r *Roster) Confirm(at time.Time) {
	r.StoreAnswered(at)
	if at.After(r.lastContact) {
		r.setLastContact(at)
	}
}

// StoreAnswered records that the store answered a daemon at that time. If it had answered none for so long that
// entries may have lapsed, those that vanished get a grace period from then on. A daemon that has just started knows
// of no such time unless the store has failed to answer it.
func (r *Roster) StoreAnswered(at time.Time) {
	if !at.After(r.lastAnswer) {
		return
	}
	hadGap := at.Sub(r.lastAnswer) > r.cfg.maxContactGap()
	if r.lastAnswer.IsZero() {
		hadGap = r.storeLost
	}
	if hadGap {
		r.contactSince = at
	}
	r.lastAnswer = at
}

func (r *Roster) setLastContact(at time.Time) {
	if r.lastContact.IsZero() {
		r.firstContact = at
	}
	r.lastContact = at
}

func (r *Roster) holds(key string) bool {
	_, ok := r.items[key]
	return ok
}
