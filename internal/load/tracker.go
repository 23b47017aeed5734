// Package load tracks the backend servers of one daemon's zone: how busy each is, and whether
// it is cold.
//
// Each server is polled by a few daemons only, its readers, which broadcast to the zone changes
// that are large enough to affect placement. Between two reports, the estimate is corrected by
// the calls that this daemon itself sent and saw end.
package load

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

// Config configures a Tracker. Fields left at 0 get the Default constant of the same name.
type Config struct {
	Self shed.VM
	// Readers is how many daemons poll a server.
	Readers int
	// PollInterval is how often a reader polls a server.
	PollInterval time.Duration
	// DigestInterval is the minimum time between two digests.
	DigestInterval time.Duration
	// RefreshInterval is how often an unchanged report is broadcast again.
	RefreshInterval time.Duration
	// Threshold is the share of a server's Capacity by which its load must have changed to be
	// broadcast.
	Threshold float64
	// SilentAfter is the age of the last report, from any reader, after which a server that
	// doesn't answer this reader's poll counts as silent.
	SilentAfter time.Duration
	// SpikeFactor and MinSpike: a first token that takes at least SpikeFactor times the server's
	// own median, and at least MinSpike, is a symptom of a cold server.
	SpikeFactor int
	MinSpike    time.Duration
	// WarmCalls is how many calls per ColdCapacity a server has to complete before it counts as
	// warm.
	WarmCalls int
}

// Defaults for fields that a Config leaves at 0.
const (
	DefaultReaders         = 2
	DefaultPollInterval    = 2 * time.Second
	DefaultDigestInterval  = time.Second
	DefaultRefreshInterval = 30 * time.Second
	DefaultThreshold       = 0.25
	DefaultSilentAfter     = 5 * time.Second
	DefaultSpikeFactor     = 4
	DefaultMinSpike        = 300 * time.Millisecond
	DefaultWarmCalls       = 2
)

// Reasons of the notes that this package emits.
const (
	ReasonStaleReport shed.Reason = "stale_load_report"
	ReasonTurnedCold  shed.Reason = "server_turned_cold"
	ReasonTurnedWarm  shed.Reason = "server_turned_warm"
)

// Tracker tracks load and warmth of the servers of a zone.
type Tracker struct {
	cfg       Config
	servers   map[shed.ServerID]*serverState
	serverIDs []shed.ServerID // sorted keys of servers
	calls     map[shed.Call]*call
	vms       []shed.VM

	nextDigest time.Time
	// newVMs have not been sent a digest yet.
	newVMs []shed.VM
}

// serverState is what this daemon knows about one server.
type serverState struct {
	server *shed.Server
	// readerRank is this daemon's index among the server's readers, or -1 if it isn't one.
	readerRank int
	nextPoll   time.Time

	// report is the last one that was applied, made at about reportTime; Boot is "" if there is
	// none.
	report     shed.LoadReport
	reportTime time.Time
	// formerBoots are earlier boots; a late report of one is dropped.
	formerBoots []string

	cold coldState
	// refusedAt is when the server last refused a call because it was full; zero once a report
	// was made after that, or refusalBackoff has passed.
	refusedAt time.Time
	// restUntil is until when the server wants no calls from this daemon; zero if it asked for no
	// rest. A report doesn't shorten it.
	restUntil time.Time
	// announced is the report that any reader last broadcast to the zone, at announcedAt;
	// divergedAt is since when the current report differs significantly from it.
	announced   shed.LoadReport
	announcedAt time.Time
	divergedAt  time.Time

	// inFlight are this daemon's calls in flight on the server.
	inFlight []*call
	// unanswered counts the calls in flight to which the server has not responded in any way.
	unanswered int
	// confirmedAt is when an answer of the server last showed that its boot is unchanged.
	confirmedAt time.Time
	// acceptsLate: the server doesn't respond to a call before the call's end.
	acceptsLate bool
	// endedCalls are calls that ended after the last report.
	endedCalls      []endedCall
	firstTokenTimes ring
	callTimes       ring
}

// New returns a tracker without data: every server counts as cold.
func New(cfg Config) *Tracker {
	setDefault(&cfg.Readers, DefaultReaders)
	setDefault(&cfg.PollInterval, DefaultPollInterval)
	setDefault(&cfg.DigestInterval, DefaultDigestInterval)
	setDefault(&cfg.RefreshInterval, DefaultRefreshInterval)
	setDefault(&cfg.Threshold, DefaultThreshold)
	setDefault(&cfg.SilentAfter, DefaultSilentAfter)
	setDefault(&cfg.SpikeFactor, DefaultSpikeFactor)
	setDefault(&cfg.MinSpike, DefaultMinSpike)
	setDefault(&cfg.WarmCalls, DefaultWarmCalls)
	return &Tracker{
		cfg:     cfg,
		servers: map[shed.ServerID]*serverState{},
		calls:   map[shed.Call]*call{},
	}
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// SetServers sets the servers of this zone that the rules name. The state of a server is kept
// when its rules change.
func (b *Tracker) SetServers(now time.Time, servers []*shed.Server) {
	keep := make(map[shed.ServerID]bool, len(servers))
	for _, s := range servers {
		keep[s.ID] = true
		e := b.servers[s.ID]
		if e == nil {
			e = &serverState{readerRank: -1, cold: coldState{active: true}}
			b.servers[s.ID] = e
		}
		e.server = s
	}
	b.serverIDs = b.serverIDs[:0]
	for id := range b.servers {
		if !keep[id] {
			delete(b.servers, id)
			continue
		}
		b.serverIDs = append(b.serverIDs, id)
	}
	slices.Sort(b.serverIDs)
	b.assignReaders(now)
}

// SetView sets the live VMs of the zone, including this one.
func (b *Tracker) SetView(now time.Time, vms []shed.VM) {
	if slices.Equal(vms, b.vms) {
		return
	}
	for _, vm := range vms {
		if vm != b.cfg.Self && !slices.Contains(b.vms, vm) {
			b.newVMs = append(b.newVMs, vm)
		}
	}
	b.vms = slices.Clone(vms)
	b.assignReaders(now)
}

// assignReaders determines by rendezvous hashing which servers this daemon polls. The first
// polls are spread over the period by the server's index.
func (b *Tracker) assignReaders(now time.Time) {
	for i, id := range b.serverIDs {
		e := b.servers[id]
		oldRank := e.readerRank
		readers := rank.Owners("load/"+string(id), b.vms, b.cfg.Readers)
		e.readerRank = slices.Index(readers, b.cfg.Self)
		if e.readerRank >= 0 && (oldRank < 0 || e.nextPoll.IsZero()) {
			phase := b.cfg.PollInterval * time.Duration(i%8) / 8
			e.nextPoll = now.Add(phase)
		}
	}
}

// Handle processes Tick, LoadReported, ServerSilent, and PeerMessage with a LoadDigest.
func (b *Tracker) Handle(now time.Time, ev shed.Event) []shed.Action {
	switch ev := ev.(type) {
	case shed.Tick:
		return b.tick(now)
	case shed.LoadReported:
		if e := b.servers[ev.Server]; e != nil {
			return b.onReport(now, e, ev.Report)
		}
	case shed.ServerSilent:
		if e := b.servers[ev.Server]; e != nil {
			return b.onSilent(now, e)
		}
	case shed.PeerMessage:
		if digest, ok := ev.Message.(shed.LoadDigest); ok {
			return b.onDigest(now, digest)
		}
	}
	return nil
}

func (b *Tracker) tick(now time.Time) []shed.Action {
	var out []shed.Action
	for _, id := range b.serverIDs {
		e := b.servers[id]
		e.expireRefusal(now)
		if e.readerRank >= 0 && !now.Before(e.nextPoll) {
			e.nextPoll = now.Add(b.cfg.PollInterval)
			out = append(out, shed.PollServer{Server: id, URL: e.server.URL})
		}
	}
	out = b.countOverdue(now, out)
	if !now.Before(b.nextDigest) {
		b.nextDigest = now.Add(b.cfg.DigestInterval)
		out = b.announceChanges(now, out)
	}
	return out
}

// onReport applies a report that this daemon polled itself. If it shows that the server turned
// cold, it is broadcast at once, whatever this reader's rank: this daemon will use its slots
// soon, while others still send as to a warm server.
func (b *Tracker) onReport(now time.Time, e *serverState, r shed.LoadReport) []shed.Action {
	wasWarm, oldBoot := !e.cold.active, e.report.Boot
	out := b.applyReport(now, nil, e, r)
	restarted := oldBoot != "" && oldBoot != e.report.Boot
	if !e.cold.active || !wasWarm && !restarted {
		return out
	}
	announced := e.report
	announced.Age = now.Sub(e.reportTime)
	e.announced, e.announcedAt = announced, now
	return b.broadcast(out, map[shed.ServerID]shed.LoadReport{e.server.ID: announced})
}

// applyReport applies a report unless it is older than the last one.
func (b *Tracker) applyReport(now time.Time, out []shed.Action, e *serverState, r shed.LoadReport) []shed.Action {
	at := now.Add(-r.Age)
	if isStale(e, r, at) {
		return append(out, shed.Note{Reason: ReasonStaleReport, Server: e.server.ID})
	}
	if r.Boot == e.report.Boot && r.Sequence == e.report.Sequence && r.Warm == e.report.Warm {
		return out // the same report, forwarded by another reader
	}
	if r.Boot != e.report.Boot && e.report.Boot != "" {
		e.retireBoot()
		e.restUntil = time.Time{}
	}
	out = b.updateCold(now, out, e, r)
	e.report, e.reportTime = r, at
	if at.After(e.refusedAt) {
		e.refusedAt = time.Time{}
	}
	e.endedCalls = slices.DeleteFunc(e.endedCalls, func(s endedCall) bool { return !s.endedAt.After(at) })
	return out
}

// maxFormerBoots is how many former boots are kept per server.
const maxFormerBoots = 4

func isStale(e *serverState, r shed.LoadReport, at time.Time) bool {
	if r.Boot != e.report.Boot {
		return slices.Contains(e.formerBoots, r.Boot) || at.Before(e.reportTime)
	}
	if r.Sequence == e.report.Sequence {
		// A later update that the server is cold after all overrides the report.
		return r.Warm && !e.report.Warm
	}
	return r.Sequence < e.report.Sequence
}

// Candidate returns the state of the server for a Policy; false if it is not in this zone.
func (b *Tracker) Candidate(now time.Time, server shed.ServerID) (shed.Candidate, bool) {
	e := b.servers[server]
	if e == nil {
		return shed.Candidate{}, false
	}
	return shed.Candidate{
		Server:         e.server,
		Running:        e.estimateRunning(),
		OwnCalls:       len(e.inFlight),
		Cold:           e.cold.active,
		Age:            now.Sub(e.reportTime),
		MedianCallTime: e.callTimes.median(),
	}, true
}

// estimateRunning corrects the last report by this daemon's own calls: it adds those sent since
// and subtracts those that the report counts and that have ended since.
func (e *serverState) estimateRunning() int {
	n := e.report.Running + e.report.Waiting
	for _, c := range e.inFlight {
		if c.sentAt.After(e.reportTime) {
			n++
		}
	}
	for _, s := range e.endedCalls {
		if !s.sentAt.After(e.reportTime) && s.endedAt.After(e.reportTime) {
			n--
		}
	}
	return max(n, len(e.inFlight))
}

// Report returns the last report of the server and its age; false if there is none.
func (b *Tracker) Report(now time.Time, server shed.ServerID) (shed.LoadReport, time.Duration, bool) {
	e := b.servers[server]
	if e == nil || e.report.Boot == "" {
		return shed.LoadReport{}, 0, false
	}
	return e.report, now.Sub(e.reportTime), true
}

// FreeCapacity returns how many more calls the server can take: while it is cold up to
// ColdCapacity in total, then one more for each call that it completed since, up to its
// Capacity (slow start). So a server or zone that returns is given its full load only as it
// proves that it can handle it.
func (b *Tracker) FreeCapacity(server shed.ServerID) int {
	e := b.servers[server]
	if e == nil || !e.refusedAt.IsZero() || !e.restUntil.IsZero() {
		return 0
	}
	free := e.usableCapacity() - e.estimateRunning()
	since := e.sentSinceReport()
	if since == 0 {
		return max(0, free)
	}
	return max(0, free-since*(len(b.vms)-1))
}

// sentSinceReport counts this daemon's calls in flight that the last report can't include. The
// zone's other daemons use the same report and will likely send as many, so each fills only its
// share of the free capacity. Otherwise all of them together would fill the same capacity
// several times over, and most of the calls would be refused.
func (e *serverState) sentSinceReport() int {
	n := 0
	for _, c := range e.inFlight {
		if c.sentAt.After(e.reportTime) {
			n++
		}
	}
	return n
}
