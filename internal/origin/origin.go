// Package origin remembers at which pool and software version streams began. It does no I/O and reads
// no clock.
//
// Load pattern: a caller whose connection broke resumes its stream at any VM, most often because the
// VM that began it has ended. So each VM tells the origins of its streams to a few others, which any
// VM can name from the stream's key, and asks those for the origin of a stream that it doesn't know.
package origin

import (
	"encoding/binary"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long an origin is remembered at least, unless the table is full.
	Retention = time.Minute
	// maxStreams bounds each of the two generations of streams.
	maxStreams = 1 << 16
	// keepers is how many other VMs are told the origin of a stream. Two VMs may end together with
	// the one that began it.
	keepers = 3
	// asked is how many VMs are asked for an origin: their ranks shift by one for the VM that began
	// the stream, and by one more for a VM that has come or gone since.
	asked = keepers + 2
)

// Key returns the key of the stream whose first event was brought by the attempt first. It includes the
// workspace, so that no caller can refer to another workspace's streams.
func Key(workspace shed.WorkspaceID, first shed.RequestID) shed.StreamKey {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(workspace)))
	h := xxhash.New()
	_, _ = h.Write(length[:])
	_, _ = h.WriteString(string(workspace))
	_, _ = h.WriteString(string(first))
	return shed.StreamKey(h.Sum64())
}

// Keepers returns the peers that are told the origin of a stream.
func Keepers(key shed.StreamKey, peers []shed.VM) []shed.VM {
	return rank.Owners(rankKey(key), peers, keepers)
}

// Asked returns the peers that are asked for the origin of a stream.
func Asked(key shed.StreamKey, peers []shed.VM) []shed.VM {
	return rank.Owners(rankKey(key), peers, asked)
}

func rankKey(key shed.StreamKey) string {
	return string(binary.BigEndian.AppendUint64([]byte("stream "), uint64(key)))
}

// Table holds the origins known to one VM. It is not safe for concurrent use.
type Table struct {
	// recent and older are two generations of origins; recent was begun at turnedAt.
	recent, older map[shed.StreamKey]shed.StreamOrigin
	turnedAt      time.Time
}

// New returns an empty Table.
func New() *Table { return &Table{recent: map[shed.StreamKey]shed.StreamOrigin{}} }

// Record remembers the origin of a stream. The first one that is recorded counts.
func (t *Table) Record(now time.Time, key shed.StreamKey, o shed.StreamOrigin) {
	if known, ok := t.Lookup(key); ok {
		o = known
	}
	if now.Sub(t.turnedAt) >= Retention || len(t.recent) >= maxStreams {
		t.older, t.recent, t.turnedAt = t.recent, map[shed.StreamKey]shed.StreamOrigin{}, now
	}
	t.recent[key] = o
}

// Lookup returns the origin of a stream, if it is known.
func (t *Table) Lookup(key shed.StreamKey) (shed.StreamOrigin, bool) {
	if o, ok := t.recent[key]; ok {
		return o, true
	}
	o, ok := t.older[key]
	return o, ok
}
