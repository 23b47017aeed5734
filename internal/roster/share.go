package roster

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
	"jasmineshed/internal/delta"
)

// ChangesSince returns what has changed after a revision, for a peer that doesn't read
// the store by itself: items sorted by key, then deletions. All of it if after
// is 0.
func (r *Roster) ChangesSince(after shed.Revision) []shed.Item {
	var out []shed.Item
	for _, key := range r.keys() {
		if h := r.items[key]; h.Revision > after {
			out = append(out, h.Item)
		}
	}
	if after == 0 {
		return out
	}
	gone := make([]string, 0, len(r.deleted))
	for key, rev := range r.deleted {
		if rev > after && r.items[key] == nil {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	for _, key := range gone {
		out = append(out, shed.Item{Key: key, Revision: r.deleted[key], Deleted: true})
	}
	return out
}

// Item returns what is held of a key; its zero value if nothing.
func (r *Roster) Item(key string) shed.Item {
	if h := r.items[key]; h != nil {
		return h.Item
	}
	return shed.Item{}
}

// ItemAt returns the item that a key had as of a revision, if it is held or was held
// lately; else its zero value. It is what a peer has that knows all up to then, so
// that a large value can be passed on as the difference to it.
func (r *Roster) ItemAt(key string, asOf shed.Revision) shed.Item {
	if h := r.items[key]; h != nil && h.Revision <= asOf {
		return h.Item
	}
	past := r.past[key]
	for i := len(past) - 1; i >= 0; i-- {
		if past[i].Revision <= asOf {
			return past[i]
		}
	}
	return shed.Item{}
}

// keepPast is how many earlier items of a key with a large value are kept: peers that
// lag lack the last few versions, not more.
const keepPast = 3

// remember keeps an item that is about to be replaced.
func (r *Roster) remember(old shed.Item) {
	if !delta.IsLarge(old) {
		return
	}
	past := slices.Concat(r.past[old.Key], []shed.Item{old})
	r.past[old.Key] = past[max(0, len(past)-keepPast):]
}

// Digest is a hash of all items that are held, the same on all daemons that hold
// the same.
func (r *Roster) Digest() uint64 { return r.digest }

func (r *Roster) digestItems() uint64 {
	var d xxhash.Digest
	d.Reset()
	var num [8]byte
	for _, key := range r.keys() {
		// A write to a digest can't fail.
		_, _ = d.WriteString(key)
		binary.LittleEndian.PutUint64(num[:], uint64(r.items[key].Revision))
		_, _ = d.Write(num[:])
	}
	return d.Sum64()
}

// Confirm notes that the store answered a peer at that time, and that this
// daemon knows all that the peer knows of it.
func (r *Roster) Confirm(at time.Time) {
	if at.After(r.contact) {
		r.contact = at
	}
}
