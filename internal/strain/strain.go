// Package strain tells how late a VM's own processor and link make its work. It does no I/O and reads no clock.
//
// Load pattern: a VM gets more requests than its processor or its link can carry. Its timers still fire on
// time, while goroutines that are ready wait for their turn and packets wait at the link. To the VM that looks like
// servers and peers that don't answer.
package strain

import (
	"slices"
	"time"
)

const (
	// ProbeInterval is the time between two probes of the processor.
	ProbeInterval = 20 * time.Millisecond
	// probesKept is the number of probes whose median is the processor's delay.
	probesKept = 8
	// window is how long the times of exchanges count.
	window = 300 * time.Millisecond
	// minHosts is the number of hosts with exchanges in the window from which on the link is the cause if all are
	// slow, rather than these hosts.
	minHosts = 3
	// baseTime is how long the shortest exchange is remembered, twice at most.
	baseTime = 30 * time.Second
	// ProcessorTarget is the delay of the processor above which a VM is strained. A request waits for the processor
	// some ten times until it is answered.
	ProcessorTarget = 15 * time.Millisecond
	// LinkTarget is the delay of the link above which a VM is strained. A request waits for the link a few times.
	LinkTarget = 60 * time.Millisecond
	// allowanceFactor is how much longer than its delay a strained VM waits for others: a call waits for the
	// processor and the link more than once.
	allowanceFactor = 3
	// MaxAllowance bounds how much longer a strained VM waits for others.
	MaxAllowance = time.Second
)

// Load is how late a VM's own resources make its work.
type Load struct {
	// Processor is how long a goroutine that is ready waits for its turn, Link how much longer than usual any host
	// takes to answer.
	Processor, Link time.Duration
}

// Strained reports whether the delays harm requests.
func (l Load) Strained() bool { return l.Excess() > 1 }

// Excess returns the worse of the delays in proportion to its target.
func (l Load) Excess() float64 {
	return max(float64(l.Processor)/float64(ProcessorTarget), float64(l.Link)/float64(LinkTarget))
}

// exchange is how long a host took to answer at once.
type exchange struct {
	at   time.Time
	addr string
	took time.Duration
}

// Meter measures the strain of one VM. It is not safe for concurrent use.
type Meter struct {
	// probes are the last waits for the processor, newest last.
	probes []time.Duration
	// exchanges are those in the window, oldest first.
	exchanges []exchange
	// base and olderBase are the shortest exchanges since baseFrom and in the span before it;
	// 0 if there was none.
	base, olderBase time.Duration
	baseFrom        time.Time
	// strainedAt is when the link was last found to be strained.
	strainedAt time.Time
}

// New returns a Meter of a VM without load.
func New() *Meter { return &Meter{} }

// Probed records that a goroutine that gave up its turn waited for the next one.
func (m *Meter) Probed(wait time.Duration) {
	if len(m.probes) == probesKept {
		m.probes = slices.Delete(m.probes, 0, 1)
	}
	m.probes = append(m.probes, wait)
}

// Unanswered records that an exchange with a host was given up. That says something of the
// link only if it was strained before: else the host may be down.
func (m *Meter) Unanswered(now time.Time, addr string, took time.Duration) {
	if m.link(now) > LinkTarget || !m.strainedAt.IsZero() && now.Sub(m.strainedAt) <= window {
		m.exchanges = append(m.exchanges, exchange{at: now, addr: addr, took: took})
	}
}

// Exchanged records how long a host took to answer what its system or its process answers at once: a new
// connection, or a control message.
func (m *Meter) Exchanged(now time.Time, addr string, took time.Duration) {
	m.exchanges = append(m.exchanges, exchange{at: now, addr: addr, took: took})
	m.expire(now)
	if now.Sub(m.baseFrom) >= baseTime {
		m.base, m.olderBase, m.baseFrom = 0, m.base, now
	}
	if m.base == 0 || took < m.base {
		m.base = took
	}
}

// Load returns the delays now.
func (m *Meter) Load(now time.Time) Load {
	return Load{Processor: m.processor(), Link: m.link(now)}
}

// Allowance returns how much longer than usual to wait for others before their silence is a sign of trouble.
func (l Load) Allowance() time.Duration {
	return min(allowanceFactor*(l.Processor+l.Link), MaxAllowance)
}

// processor is the median wait: a single long task or a pause delays one probe.
func (m *Meter) processor() time.Duration {
	if len(m.probes) < probesKept {
		return 0
	}
	sorted := slices.Sorted(slices.Values(m.probes))
	return sorted[len(sorted)/2]
}

// link is the least delay of any host: what all of them have in common is this VM's link.
func (m *Meter) link(now time.Time) time.Duration {
	m.expire(now)
	least := map[string]time.Duration{}
	for _, c := range m.exchanges {
		if d, ok := least[c.addr]; !ok || c.took < d {
			least[c.addr] = c.took
		}
	}
	if len(least) < minHosts {
		return 0
	}
	shortest := time.Duration(0)
	for _, d := range least {
		if shortest == 0 || d < shortest {
			shortest = d
		}
	}
	delay := max(shortest-m.usual(), 0)
	if delay > LinkTarget {
		m.strainedAt = now
	}
	return delay
}

// usual returns the shortest exchange lately.
func (m *Meter) usual() time.Duration {
	if m.olderBase > 0 && (m.base == 0 || m.olderBase < m.base) {
		return m.olderBase
	}
	return m.base
}

func (m *Meter) expire(now time.Time) {
	old := 0
	for old < len(m.exchanges) && now.Sub(m.exchanges[old].at) > window {
		old++
	}
	m.exchanges = slices.Delete(m.exchanges, 0, old)
}
