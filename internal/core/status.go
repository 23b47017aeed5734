package core

import (
	"sort"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/cost"
)

// Status is the state that a daemon assumes, and the age of each part.
type Status struct {
	Peer     shed.Peer    `json:"peer"`
	Zone     shed.ZoneID  `json:"zone"`
	Ready    bool         `json:"ready"`
	Stopping bool         `json:"stopping"`
	Config   ConfigStatus `json:"configuration"`
	View     []ZoneStatus `json:"view"`
	// ViewConfirmed: peers have confirmed the view since the last pause.
	ViewConfirmed  bool           `json:"view_confirmed"`
	Servers        []ServerStatus `json:"servers"`
	LiveRequests   int            `json:"live_requests"`
	ForwardedCalls int            `json:"guest_calls"`
	Tickets        int            `json:"tickets"`
	// Cost by stage since the start, in millionths of a server-second.
	Cost []StageCost `json:"cost"`
}

// ConfigStatus is the state of the configuration.
type ConfigStatus struct {
	Revision shed.Revision `json:"revision"`
	Ready    bool          `json:"ready"`
	Fresh    bool          `json:"fresh"`
	// ConfirmedAgo is how long ago the revision was known to be the newest; -1 if
	// it never was.
	ConfirmedAgo time.Duration `json:"confirmed_ago_ns"`
	// Watching: this daemon reads the platform for its zone.
	Watching bool `json:"watching"`
	// PeersAsked and PeersReplied count peers at the last start or end of a pause.
	PeersAsked   int `json:"peers_asked"`
	PeersReplied int `json:"peers_heard"`
	// Invalid is the platform's newest revision if it has faults.
	Invalid       shed.Revision `json:"invalid_revision,omitempty"`
	Faults        string        `json:"faults,omitempty"`
	PlatformReads int           `json:"platform_reads"`
	Pauses        int           `json:"woke"`
}

// StageCost is the accumulated cost of one stage.
type StageCost struct {
	Pipeline    shed.PipelineID `json:"pipeline"`
	Stage       shed.StageID    `json:"stage"`
	UsefulCalls uint64          `json:"useful_calls"`
	Useful      shed.Cost       `json:"useful"`
	Wasted      shed.Cost       `json:"wasted"`
}

// ZoneStatus is the view of one zone.
type ZoneStatus struct {
	Zone  shed.ZoneID `json:"zone"`
	Peers []shed.Peer `json:"peers"`
}

// ServerStatus is what is known of one backend server of the zone.
type ServerStatus struct {
	Server    shed.ServerID `json:"server"`
	Cold      bool          `json:"cold"`
	Running   int           `json:"running"`
	OwnCalls  int           `json:"own"`
	FreeSlots int           `json:"free_slots"`
	ReportAge time.Duration `json:"report_age_ns"`
}

// Status implements daemon.Decider.
func (c *Core) Status(now time.Time) any { return c.status(now) }

func (c *Core) status(now time.Time) Status {
	s := Status{
		Peer: c.cfg.Self, Zone: c.cfg.Zone, Ready: c.ready, Stopping: c.stop.requested,
		Config: c.configStatus(now), ViewConfirmed: c.member.Confirmed(now),
		LiveRequests: c.flow.Live(), ForwardedCalls: len(c.forwardedIn), Tickets: c.tickets.Len(),
		Cost: c.costs(),
	}
	v := c.member.View()
	for _, z := range v.Zones() {
		s.View = append(s.View, ZoneStatus{Zone: z, Peers: v.Zone(z)})
	}
	if c.rules == nil {
		return s
	}
	for id, srv := range c.rules.Servers {
		if srv.Zone != c.cfg.Zone {
			continue
		}
		cand, _ := c.load.Candidate(now, id)
		s.Servers = append(s.Servers, ServerStatus{
			Server: id, Cold: cand.Cold, Running: cand.Running, OwnCalls: cand.OwnCalls,
			FreeSlots: c.slots.FreeSlots(now, id), ReportAge: cand.Age,
		})
	}
	sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].Server < s.Servers[j].Server })
	return s
}

func (c *Core) configStatus(now time.Time) ConfigStatus {
	from := c.config.Status(now)
	to := ConfigStatus{
		Revision: from.Revision, Ready: from.Ready, Fresh: from.Fresh, ConfirmedAgo: from.ConfirmedAgo,
		Watching: from.Watching, PeersAsked: from.PeersAsked, PeersReplied: from.PeersReplied,
		Invalid: from.Invalid, Faults: from.Faults, PlatformReads: from.Counts.Reads, Pauses: from.Counts.Pauses,
	}
	if from.NeverConfirmed {
		to.ConfirmedAgo = -1
	}
	return to
}

func (c *Core) costs() []StageCost {
	lines := c.ledger.Snapshot()
	out := make([]StageCost, len(lines))
	for i := range lines {
		l := &lines[i]
		out[i] = StageCost{
			Pipeline: l.Pipeline, Stage: l.Stage,
			UsefulCalls: l.Calls[cost.Useful], Useful: l.Cost[cost.Useful], Wasted: l.Wasted(),
		}
	}
	return out
}
