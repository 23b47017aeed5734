package picker

import "time"

const (
	// FirstOverrun is about what a server takes to the first event beyond reading
	// the prompts that are known, as long as none was measured.
	FirstOverrun = 40 * time.Millisecond
	// overrunWeight is the weight of the newest sample: the last 16 count.
	overrunWeight = 1.0 / 16
	// maxOverrun bounds a sample: a server that is ill says nothing of the others.
	maxOverrun = 600 * time.Millisecond
)

// overrun is how long first events take beyond what is foreseen: requests of other
// VMs, decoding and the network. Without it answers of a loaded pool were foreseen
// too soon, and came after their target.
type overrun struct{ mean, spread time.Duration }

func (o *overrun) add(sample time.Duration) {
	sample = min(max(sample, 0), maxOverrun)
	deviation := sample - o.mean
	o.mean += time.Duration(overrunWeight * float64(deviation))
	o.spread += time.Duration(overrunWeight * float64(deviation.Abs()-o.spread))
}

// Overrun is what a first event takes beyond Choice.Time, for most requests.
func (p *Picker) Overrun() time.Duration { return p.overrun.mean + p.overrun.spread }

// First notes that the first event of a request came so long after it was sent.
func (p *Picker) First(c Choice, took time.Duration) { p.overrun.add(took - c.Time) }
