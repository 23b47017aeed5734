package picker

import "time"

const (
	// DefaultOverrun is about what a server takes to the first event beyond reading
	// the prompts that are known, as long as none was measured.
	DefaultOverrun = 40 * time.Millisecond
	// overrunShare is the weight of the newest sample: the last 16 count.
	overrunShare = 1.0 / 16
	// mostOverrun bounds a sample: a server that is ill says nothing of the others.
	mostOverrun = 600 * time.Millisecond
)

// overrun is how long first events take beyond what is foreseen: requests of other
// VMs, decoding and the network. Without it answers of a loaded pool were foreseen
// too soon, and came after their target.
type overrun struct{ mean, spread time.Duration }

func (o *overrun) add(sample time.Duration) {
	sample = min(max(sample, 0), mostOverrun)
	off := sample - o.mean
	o.mean += time.Duration(overrunShare * float64(off))
	o.spread += time.Duration(overrunShare * float64(off.Abs()-o.spread))
}

// Overrun is what a first event takes beyond Choice.Time, for most requests.
func (p *Picker) Overrun() time.Duration { return p.overrun.mean + p.overrun.spread }

// RecordFirstEvent notes that the first event of a request came so long after it was sent.
func (p *Picker) RecordFirstEvent(c Choice, took time.Duration) { p.overrun.add(took - c.Time) }
