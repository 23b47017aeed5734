package daemon

import (
	"sync"
	"time"

	shed "jasmineshed"

	"github.com/sirupsen/logrus"
)

// notesKept bounds the ring of notes that explain reads from.
const notesKept = 8192

// Entry is one note, as explain shows it.
type Entry struct {
	At              time.Time      `json:"at"`
	Reason          shed.Reason    `json:"reason"`
	Request         shed.RequestID `json:"request_id,omitempty"`
	Server          shed.ServerID  `json:"server,omitempty"`
	Zone            shed.ZoneID    `json:"zone,omitempty"`
	Peer            shed.VM        `json:"peer,omitempty"`
	RuleLine        int            `json:"rule_line,omitempty"`
	RuleRequestedBy string         `json:"rule_asked_by,omitempty"`
}

// ring keeps the newest notes.
type ring struct {
	mu      sync.Mutex
	entries []Entry
	next    int
}

func (r *ring) add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) < notesKept {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % notesKept
}

// of returns the notes on a request, or on all if id is empty, oldest first.
func (r *ring) of(id shed.RequestID) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Entry
	for i := range r.entries {
		e := r.entries[(r.next+i)%len(r.entries)]
		if id == "" || e.Request == id {
			out = append(out, e)
		}
	}
	return out
}

func (d *Daemon) note(n shed.Note) {
	count := max(n.Count, 1)
	d.stats.note(n.Reason, count)
	d.notes.add(Entry{
		At: time.Now(), Reason: n.Reason, Request: n.Request, Server: n.Server,
		Zone: n.Zone, Peer: n.Peer, RuleLine: n.Rule.Line, RuleRequestedBy: n.Rule.RequestedBy,
	})
	d.cfg.Log.WithFields(logrus.Fields{
		"reason": n.Reason, "request_id": n.Request, "server": n.Server,
		"zone": n.Zone, "peer": n.Peer, "rule_line": n.Rule.Line, "count": count,
	}).Debug("decided")
}
