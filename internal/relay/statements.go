package relay

import (
	"errors"
	"net/http"
	"time"

	shed "jasmineshed"

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
}

// errServerClosed: the server accepts no new work, so the request was not sent.
var errServerClosed = errors.New("server accepts no new work")

// send sends a request to a backend server and applies what the answer says about the server. All
// requests to backend servers go through it: they were placed some time ago, and meanwhile another
// answer may have said that the server leaves.
func (r *Relay) send(e exchange, req *http.Request) (resp *http.Response, reply shed.ReplyHead, sent bool, err error) {
	if !r.isOpen(e.server) {
		return nil, reply, false, errServerClosed
	}
	resp, sent, err = r.sender.Do(req, e.once, e.sendBy)
	if err != nil {
		return nil, reply, sent, err
	}
	reply = r.cfg.Dialect.ParseReply(resp)
	if e.id == "" || reply.ID == e.id {
		r.receiveStatements(e.server, reply)
	}
	return resp, reply, true, nil
}

func (r *Relay) isOpen(s shed.ServerEntry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.IsOpen(startOf(s))
}

// receiveStatements applies what an answer says about its server: a rate limit, that it leaves, or
// that it wants rest. An answer of another server at the same address says nothing about it.
func (r *Relay) receiveStatements(s shed.ServerEntry, reply shed.ReplyHead) {
	if reply.OtherServer {
		return
	}
	for _, text := range reply.Malformed {
		r.log.WithFields(logrus.Fields{"server": s.ID, "statement": text}).Warn("statement of a server can't be read")
	}
	r.receiveAnswerLimit(s, reply)
	if reply.Leaving {
		r.receiveDeparture(s)
	}
	if reply.Rest > 0 {
		r.log.WithFields(logrus.Fields{"server": s.ID, "born": s.StartedMs, "pool": s.Pool, "rest_ms": reply.Rest.Milliseconds()}).
			Info("server asks for rest")
	}
}

// receiveDeparture records that a server said that it leaves, and tells peers at once: the store
// may not take the server's report for a while, and the server ends under what is sent to it.
func (r *Relay) receiveDeparture(s shed.ServerEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.roster.MarkLeaving(time.Now(), startOf(s))
	if len(changes) == 0 {
		return
	}
	r.logRosterChanges(changes)
	r.client.SendAll(r.alivePeers(), shed.LeavingUpdate{Starts: []shed.ServerStart{startOf(s)}})
}

// receivePeerDepartures records departures that a peer reported. The caller holds mu.
func (r *Relay) receivePeerDepartures(now time.Time, starts []shed.ServerStart) {
	for _, start := range starts {
		r.logRosterChanges(r.roster.MarkLeaving(now, start))
	}
}
