package core

import (
	"sort"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/config"
	"jasmineshed/internal/cost"
)

// Status is what a daemon believes, and how old each belief is.
type Status struct {
	Peer     shed.Peer     `json:"peer"`
	Zone     shed.ZoneID   `json:"zone"`
	Ready    bool          `json:"ready"`
	Stopping bool          `json:"stopping"`
	Config   config.Status `json:"configuration"`
	View     []ZoneStatus  `json:"view"`
	// ViewConfirmed: peers have confirmed the view since the last pause.
	ViewConfirmed bool           `json:"view_confirmed"`
	Servers       []ServerStatus `json:"servers"`
	LiveRequests  int            `json:"live_requests"`
	GuestCalls    int            `json:"guest_calls"`
	Tickets       int            `json:"tickets"`
	Cost          []cost.Line    `json:"cost"`
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
	Own       int           `json:"own"`
	Slots     int           `json:"free_slots"`
	ReportAge time.Duration `json:"report_age_ns"`
}

// Status implements daemon.Decider.
func (c *Core) Status(now time.Time) any { return c.status(now) }

func (c *Core) status(now time.Time) Status {
	s := Status{
		Peer: c.cfg.Self, Zone: c.cfg.Zone, Ready: c.ready, Stopping: c.stop.asked,
		Config: c.config.Status(now), ViewConfirmed: c.member.Confirmed(now),
		LiveRequests: c.flow.Live(), GuestCalls: len(c.guests), Tickets: c.tickets.Len(),
		Cost: c.ledger.Snapshot(),
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
			Server: id, Cold: cand.Cold, Running: cand.Running, Own: cand.Own,
			Slots: c.slots.Free(now, id), ReportAge: cand.Age,
		})
	}
	sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].Server < s.Servers[j].Server })
	return s
}
