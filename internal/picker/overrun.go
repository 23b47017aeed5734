package picker

import "time"

const (
	// DefaultOverrun approximates the time a server takes to the first event beyond reading the
	// known prompts; it is used until one has been measured.
	DefaultOverrun = 40 * time.Millisecond
	// overrunWeight is the weight of the newest sample: about the last 16 count.
	overrunWeight = 1.0 / 16
	// maxOverrun bounds a sample: an unhealthy server says nothing about the others.
	maxOverrun = 600 * time.Millisecond
)

// overrun is how long first events take beyond the predicted time, due to requests of other
// VMs, decoding and the network. Without it, answers of a loaded pool were predicted too early
// and missed their target.
type overrun struct{ mean, spread time.Duration }

func (o *overrun) add(sample time.Duration) {
	sample = min(max(sample, 0), maxOverrun)
	deviation := sample - o.mean
	o.mean += time.Duration(overrunWeight * float64(deviation))
	o.spread += time.Duration(overrunWeight * float64(deviation.Abs()-o.spread))
}

// Overrun is how long a first event takes beyond Choice.Time, for most requests.
func (p *Picker) Overrun() time.Duration { return p.overrun.mean + p.overrun.spread }

// RecordFirstEvent records how long after it was sent the first event of a request arrived.
func (p *Picker) RecordFirstEvent(c Choice, took time.Duration) { p.overrun.add(took - c.Time) }
