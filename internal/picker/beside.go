package picker

import "time"

const (
	// FirstBeside is about what a server takes to the first event beside reading
	// the prompts that are known, as long as none was measured.
	FirstBeside = 40 * time.Millisecond
	// besideShare is the weight of the newest sample: the last 16 count.
	besideShare = 1.0 / 16
	// mostBeside bounds a sample: a server that is ill says nothing of the others.
	mostBeside = 600 * time.Millisecond
)

// beside is how long first events take beyond what is foreseen: requests of other
// VMs, decoding and the network. Without it answers of a loaded pool were foreseen
// 0.1 to 0.3 s too soon, and came that much after their target.
type beside struct{ mean, spread time.Duration }

func (b *beside) add(sample time.Duration) {
	sample = min(max(sample, 0), mostBeside)
	off := sample - b.mean
	b.mean += time.Duration(besideShare * float64(off))
	b.spread += time.Duration(besideShare * float64(off.Abs()-b.spread))
}

// Beside is what a first event takes beyond Choice.Time, for most requests.
func (p *Picker) Beside() time.Duration { return p.beside.mean + p.beside.spread }

// First notes that the first event of a request came so long after it was sent.
func (p *Picker) First(c Choice, took time.Duration) { p.beside.add(took - c.Time) }
