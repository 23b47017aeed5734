// Package load keeps what one daemon knows of the backend servers of its zone:
// how busy each is, and whether it is cold.
//
// Each server is polled by a few daemons only, its readers, which tell the zone
// what changed enough to alter a choice. Between two reports the estimate is
// corrected by the work that this daemon itself sent and saw end.
package load

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

// Config sets up a Book. Fields left at 0 get the Default of their name.
type Config struct {
	Self shed.VM
	// Readers is how many daemons poll a server.
	Readers int
	// PollInterval is how often a reader polls a server.
	PollInterval time.Duration
	// DigestInterval is the shortest time between two digests.
	DigestInterval time.Duration
	// RefreshInterval is how often an unchanged report is told again.
	RefreshInterval time.Duration
	// Threshold is the share of a server's Capacity by which its load must
	// have changed to be told.
	Threshold float64
	// SilentAfter is the age of the last report, from any reader, after which
	// a server that doesn't answer this one counts as silent.
	SilentAfter time.Duration
	// SpikeFactor and MinSpike: a first token that takes SpikeFactor times the
	// server's own median, and MinSpike at the least, is a symptom of a cold
	// server.
	SpikeFactor int
	MinSpike    time.Duration
	// WarmCalls is how many calls per ColdCapacity a server has to complete before
	// it is held warm.
	WarmCalls int
}

// Defaults for what a Config leaves at 0.
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

// The reasons of the notes that this package takes.
const (
	ReasonStaleReport shed.Reason = "stale_load_report"
	ReasonTurnedCold  shed.Reason = "server_turned_cold"
	ReasonTurnedWarm  shed.Reason = "server_turned_warm"
)

// Tracker is what is known of the servers.
type Tracker struct {
	cfg     Config
	servers map[shed.ServerID]*entry
	order   []shed.ServerID // sorted keys of servers
	calls   map[shed.Call]*call
	vms     []shed.VM

	nextDigest time.Time
	// newcomers have not been told anything yet.
	newcomers []shed.VM
}

// entry is what is known of one server.
type entry struct {
	server *shed.Server
	// readers of the server, the first one first; rank is the place of this
	// daemon among them, or -1.
	rank     int
	nextPoll time.Time

	// report is the last one that was taken, made at about at; Boot is "" if
	// there is none.
	report shed.LoadReport
	at     time.Time
	// former are boots that ended; a late report of one is dropped.
	former []string

	cold cold
	// full is when the server last refused a call for want of room; zero once a
	// report was made after that, or fullFor has passed.
	full time.Time
	// told is what the zone was last told of the server, by any reader, and
	// when; unlike is since when the present report differs enough from it.
	told   shed.LoadReport
	toldAt time.Time
	unlike time.Time

	// flight are this daemon's calls in flight on the server.
	flight []*call
	// unseen are those of flight of which the server has shown no sign yet.
	unseen int
	// provenAt is when an answer of the server last showed its boot.
	provenAt time.Time
	// tellsLate: the server gives no sign of a call before its end.
	tellsLate bool
	// ended are calls that ended after the last report.
	ended []span
	first ring // times to the first token
	whole ring // times of whole calls
}

// New returns a book that knows nothing; every server counts as cold.
func New(cfg Config) *Tracker {
	orDefault(&cfg.Readers, DefaultReaders)
	orDefault(&cfg.PollInterval, DefaultPollInterval)
	orDefault(&cfg.DigestInterval, DefaultDigestInterval)
	orDefault(&cfg.RefreshInterval, DefaultRefreshInterval)
	orDefault(&cfg.Threshold, DefaultThreshold)
	orDefault(&cfg.SilentAfter, DefaultSilentAfter)
	orDefault(&cfg.SpikeFactor, DefaultSpikeFactor)
	orDefault(&cfg.MinSpike, DefaultMinSpike)
	orDefault(&cfg.WarmCalls, DefaultWarmCalls)
	return &Tracker{
		cfg:     cfg,
		servers: map[shed.ServerID]*entry{},
		calls:   map[shed.Call]*call{},
	}
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// SetServers tells which servers of this zone the rules name. What is known of
// a server outlives a change of its rules.
func (b *Tracker) SetServers(now time.Time, servers []*shed.Server) {
	keep := make(map[shed.ServerID]bool, len(servers))
	for _, s := range servers {
		keep[s.ID] = true
		e := b.servers[s.ID]
		if e == nil {
			e = &entry{rank: -1, cold: cold{on: true}}
			b.servers[s.ID] = e
		}
		e.server = s
	}
	b.order = b.order[:0]
	for id := range b.servers {
		if !keep[id] {
			delete(b.servers, id)
			continue
		}
		b.order = append(b.order, id)
	}
	slices.Sort(b.order)
	b.assign(now)
}

// SetView tells which VMs of the zone are alive, this one among them.
func (b *Tracker) SetView(now time.Time, vms []shed.VM) {
	if slices.Equal(vms, b.vms) {
		return
	}
	for _, vm := range vms {
		if vm != b.cfg.Self && !slices.Contains(b.vms, vm) {
			b.newcomers = append(b.newcomers, vm)
		}
	}
	b.vms = slices.Clone(vms)
	b.assign(now)
}

// assign works out which servers this daemon reads. The first polls are spread
// over the period by the place in the list.
func (b *Tracker) assign(now time.Time) {
	for i, id := range b.order {
		e := b.servers[id]
		was := e.rank
		readers := rank.Owners("load/"+string(id), b.vms, b.cfg.Readers)
		e.rank = slices.Index(readers, b.cfg.Self)
		if e.rank >= 0 && (was < 0 || e.nextPoll.IsZero()) {
			phase := b.cfg.PollInterval * time.Duration(i%8) / 8
			e.nextPoll = now.Add(phase)
		}
	}
}

// Handle takes Tick, LoadReported, ServerSilent and PeerMessage with a
// LoadDigest.
func (b *Tracker) Handle(now time.Time, ev shed.Event) []shed.Action {
	switch ev := ev.(type) {
	case shed.Tick:
		return b.tick(now)
	case shed.LoadReported:
		if e := b.servers[ev.Server]; e != nil {
			return b.reported(now, e, ev.Report)
		}
	case shed.ServerSilent:
		if e := b.servers[ev.Server]; e != nil {
			return b.silent(now, e)
		}
	case shed.PeerMessage:
		if digest, ok := ev.Message.(shed.LoadDigest); ok {
			return b.digest(now, digest)
		}
	}
	return nil
}

func (b *Tracker) tick(now time.Time) []shed.Action {
	var out []shed.Action
	for _, id := range b.order {
		e := b.servers[id]
		e.reopen(now)
		if e.rank >= 0 && !now.Before(e.nextPoll) {
			e.nextPoll = now.Add(b.cfg.PollInterval)
			out = append(out, shed.PollServer{Server: id, URL: e.server.URL})
		}
	}
	out = b.overdue(now, out)
	if !now.Before(b.nextDigest) {
		b.nextDigest = now.Add(b.cfg.DigestInterval)
		out = b.tell(now, out)
	}
	return out
}

// reported takes in a report that this daemon read itself. If it shows that the
// server turned cold, the zone is told at once, whichever reader this is: this
// daemon will use its slots soon, while others still send to a warm server.
func (b *Tracker) reported(now time.Time, e *entry, r shed.LoadReport) []shed.Action {
	warm, boot := !e.cold.on, e.report.Boot
	out := b.take(now, nil, e, r)
	reborn := boot != "" && boot != e.report.Boot
	if !e.cold.on || !warm && !reborn {
		return out
	}
	word := e.report
	word.Age = now.Sub(e.at)
	e.told, e.toldAt = word, now
	return b.send(out, map[shed.ServerID]shed.LoadReport{e.server.ID: word})
}

// take takes in a report, unless it is older than what is known.
func (b *Tracker) take(now time.Time, out []shed.Action, e *entry, r shed.LoadReport) []shed.Action {
	at := now.Add(-r.Age)
	if stale(e, r, at) {
		return append(out, shed.Note{Reason: ReasonStaleReport, Server: e.server.ID})
	}
	if r.Boot == e.report.Boot && r.Sequence == e.report.Sequence && r.Warm == e.report.Warm {
		return out // the same report by way of another reader
	}
	if r.Boot != e.report.Boot && e.report.Boot != "" {
		e.forgetBoot()
	}
	out = b.judge(now, out, e, r)
	e.report, e.at = r, at
	if at.After(e.full) {
		e.full = time.Time{}
	}
	e.ended = slices.DeleteFunc(e.ended, func(s span) bool { return !s.ended.After(at) })
	return out
}

// formerMax is how many former boots of a server are remembered.
const formerMax = 4

func stale(e *entry, r shed.LoadReport, at time.Time) bool {
	if r.Boot != e.report.Boot {
		return slices.Contains(e.former, r.Boot) || at.Before(e.at)
	}
	if r.Sequence == e.report.Sequence {
		// Word that the server is cold after all overrules the report.
		return r.Warm && !e.report.Warm
	}
	return r.Sequence < e.report.Sequence
}

// Candidate returns what is known of the server, for a Policy; false if it is
// none of this zone.
func (b *Tracker) Candidate(now time.Time, server shed.ServerID) (shed.Candidate, bool) {
	e := b.servers[server]
	if e == nil {
		return shed.Candidate{}, false
	}
	return shed.Candidate{
		Server:         e.server,
		Running:        e.running(),
		OwnCalls:       len(e.flight),
		Cold:           e.cold.on,
		Age:            now.Sub(e.at),
		MedianCallTime: e.whole.median(),
	}, true
}

// running corrects the last report by this daemon's own calls: those that it
// sent since, and those that the report counts and that have ended since.
func (e *entry) running() int {
	n := e.report.Running + e.report.Waiting
	for _, c := range e.flight {
		if c.sent.After(e.at) {
			n++
		}
	}
	for _, s := range e.ended {
		if !s.sent.After(e.at) && s.ended.After(e.at) {
			n--
		}
	}
	return max(n, len(e.flight))
}

// Report returns the last report of the server and its age; false if there is
// none.
func (b *Tracker) Report(now time.Time, server shed.ServerID) (shed.LoadReport, time.Duration, bool) {
	e := b.servers[server]
	if e == nil || e.report.Boot == "" {
		return shed.LoadReport{}, 0, false
	}
	return e.report, now.Sub(e.at), true
}

// FreeCapacity returns how many more calls the server can take: while it is cold up to
// ColdCapacity in all, then one more for each call that it completed since, up to
// its Capacity. So a server or zone that returns gets its full load only as it
// shows that it can carry it.
func (b *Tracker) FreeCapacity(server shed.ServerID) int {
	e := b.servers[server]
	if e == nil || !e.full.IsZero() {
		return 0
	}
	free := e.level() - e.running()
	since := e.sentSince()
	if since == 0 {
		return max(0, free)
	}
	return max(0, free-since*(len(b.vms)-1))
}

// sentSince counts this daemon's live calls that the last report can't show. The
// zone's other daemons go by the same report, and will likely send as many:
// each fills only its share of what was free, since all of them together would
// else send the same places several times over, and most would be refused.
func (e *entry) sentSince() int {
	n := 0
	for _, c := range e.flight {
		if c.sent.After(e.at) {
			n++
		}
	}
	return n
}
