package relay

import (
	"errors"
	"net/http"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/engine"
	"jasmineshed/internal/reach"

	"github.com/sirupsen/logrus"
)

// exchange is one request to a backend server.
type exchange struct {
	server shed.ServerEntry
	// id is the request's id, which its answer must have; empty for calls without one.
	id shed.RequestID
	// once: the request may run only once.
	once bool
	// sendBy is when the first byte must have been sent; zero for no limit.
	sendBy time.Time
	// patience is how long the server may send nothing without doubt on the path to it.
	patience time.Duration
	// carrier is the peer that carried the request; empty if it was sent directly.
	carrier shed.VM
	// decidedAt is when the server was chosen.
	decidedAt time.Time
	sending   sending
}

// sending tells how a request's first byte was sent; the zero value if it wasn't.
type sending struct {
	sent bool
	// wait is the time since the server was chosen, knowledgeAge how old the state of the store was on which the
	// request was sent.
	wait, knowledgeAge time.Duration
}

// log adds it to a log line.
func (s sending) log(fields logrus.Fields) {
	if s.sent {
		fields["waited_ms"], fields["knowledge_ms"] = s.wait.Milliseconds(), s.knowledgeAge.Milliseconds()
	}
}

// gate returns the gate of the exchange's first byte. A server may have begun to leave while the connection to it
// was set up.
func (r *Relay) gate(e *exchange) engine.Gate {
	return func() error {
		now := time.Now()
		if !e.sendBy.IsZero() && now.After(e.sendBy) {
			return engine.ErrTooLate
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.roster.IsOpen(e.server.Start()) {
			return errServerClosed
		}
		e.sending = sending{sent: true, wait: now.Sub(e.decidedAt), knowledgeAge: r.knowledgeAge(now)}
		return nil
	}
}

// addr returns the address of the exchange's server.
func (e *exchange) addr() reach.Addr { return reach.Addr(e.server.Addr) }

var (
	// errServerClosed: the server accepts no new work, so the request was not sent.
	errServerClosed = errors.New("server accepts no new work")
	// errServerRests: the server wants no request from this VM now, so it was not sent.
	errServerRests = errors.New("server asked for rest")
)

// send sends a request to a backend server and applies what the answer says about the server. All
// requests to backend servers go through it: they were placed some time ago, and meanwhile another
// answer may have said that the server leaves or wants rest.
func (r *Relay) send(e *exchange, req *http.Request) (resp *http.Response, reply shed.ReplyHead, sent bool, err error) {
	sentAt := time.Now()
	if err := r.reserve(sentAt, e.server); err != nil {
		return nil, reply, false, err
	}
	resp, sent, err = r.transmit(e, req)
	if err != nil {
		return nil, reply, sent, err
	}
	reply = r.cfg.Dialect.ParseReply(resp)
	if e.id == "" || reply.ID == e.id {
		r.receiveStatements(e, reply, sentAt)
	}
	return resp, reply, true, nil
}

// reserve returns errServerClosed or errServerRests if nothing may be sent to the server now.
func (r *Relay) reserve(now time.Time, s shed.ServerEntry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.roster.IsOpen(s.Start()):
		return errServerClosed
	case !r.access.Reserve(now, s.Start()):
		return errServerRests
	}
	return nil
}

// wasNotAdmitted reports whether a request was not sent because its server closed or rests.
func wasNotAdmitted(err error) bool {
	return errors.Is(err, errServerClosed) || errors.Is(err, errServerRests)
}

// receiveStatements applies what an answer says about its server: a rate limit, how long work takes there,
// that it leaves, or that it wants rest. An answer of another server at the same address says nothing about it.
func (r *Relay) receiveStatements(e *exchange, reply shed.ReplyHead, sentAt time.Time) {
	s := e.server
	if reply.OtherServer {
		return
	}
	for _, text := range reply.Malformed {
		r.log.WithFields(logrus.Fields{"server": s.ID, "statement": text}).Warn("statement of a server can't be read")
	}
	r.receiveAnswerLimit(s, reply)
	r.receiveWorkTime(s, reply.WorkTime)
	if reply.Leaving {
		r.receiveDeparture(s)
	}
	r.receiveRest(e, reply, sentAt)
}

// receiveRest records that a server wants rest, or that it accepted a request after one. Other peers
// than those that share connections are not told: a server may turn away one VM and serve the others.
func (r *Relay) receiveRest(e *exchange, reply shed.ReplyHead, sentAt time.Time) {
	s := e.server
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.Rest == 0 {
		if !reply.NotRun {
			r.access.Accepted(s.Start(), sentAt)
		}
		return
	}
	now := time.Now()
	r.access.Rest(now, s.Start(), reply.Rest)
	r.shareRest(s.Start(), reply.Rest, e.carrier)
	r.stats.rests.Inc(1)
	r.log.WithFields(logrus.Fields{"server": s.ID, "born": s.StartedMs, "pool": s.Pool, "rest_ms": reply.Rest.Milliseconds()}).
		Info("server asks for rest")
	r.performBatch(r.batcher.Handle(now, batch.ServerRests{Server: s.ID, Left: r.access.RestLeft(now, s.Start())}))
}

// restLeft returns how long no request may be sent to any open server of the pool because all of
// them rest; 0 if one may be sent. The caller holds mu.
func (r *Relay) restLeft(now time.Time, pool shed.PoolID) time.Duration {
	least := time.Duration(0)
	for _, s := range r.roster.OpenServers(pool) {
		left := r.access.RestLeft(now, s.Start())
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// receiveDeparture records that a server said that it leaves, and tells peers at once: the store
// may not take the server's report for a while, and the server ends under what is sent to it.
func (r *Relay) receiveDeparture(s shed.ServerEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.roster.MarkLeaving(time.Now(), s.Start())
	if len(changes) == 0 {
		return
	}
	r.logRosterChanges(changes)
	r.client.SendAll(r.alivePeers(), shed.LeavingUpdate{Starts: []shed.ServerStart{s.Start()}})
}

// receivePeerDepartures records departures that a peer reported. The caller holds mu.
func (r *Relay) receivePeerDepartures(now time.Time, starts []shed.ServerStart) {
	for _, start := range starts {
		r.logRosterChanges(r.roster.MarkLeaving(now, start))
	}
}
