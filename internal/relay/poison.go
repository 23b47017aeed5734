package relay

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/poison"
	"jasmineshed/internal/rank"

	"github.com/sirupsen/logrus"
)

// trialTurns is how many VMs take turns in trying a request after its quarantine.
const trialTurns = 4

// closesWithin is how soon a connection to a server that has ended is closed, where it is
// taken at all.
const closesWithin = 30 * time.Millisecond

// refuseSuspect refuses a request that crashes servers before anything is done for it.
func (r *Relay) refuseSuspect(j *job) *refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, no := r.suspicion(time.Now(), j)
	return no
}

// suspicion refuses a request that crashes servers, and tells whether one that may is to
// run apart from others. The caller holds mu.
func (r *Relay) suspicion(now time.Time, j *job) (isolate bool, no *refusal) {
	if j.trial || r.poison.Empty() {
		return j.trial, nil
	}
	for _, f := range j.suspects() {
		v := r.poison.Decide(now, f, func() int { return r.trialTurn(f) })
		if v.Refused {
			return false, r.known(j, &refusal{status: http.StatusServiceUnavailable, reason: reasonCrashes, after: v.RetryAfter})
		}
		j.trial = j.trial || v.Trial
		isolate = isolate || v.Isolate
	}
	return isolate, nil
}

// suspects are what may end servers: the request itself, and its pieces, until they are
// made.
func (j *job) suspects() []shed.Fingerprint {
	out := []shed.Fingerprint{j.fingerprint}
	if j.ready {
		return out
	}
	for _, s := range j.route.Steps {
		if f := poison.PoolFingerprint(j.fingerprint, s.Pool); !slices.Contains(out, f) {
			out = append(out, f)
		}
	}
	return out
}

// trialTurn is this VM's place among those that try a request after its quarantine.
func (r *Relay) trialTurn(f shed.Fingerprint) int {
	owners := rank.Owners(f.String(), append(r.alive(), r.mesh.self.VM), trialTurns)
	if at := slices.Index(owners, r.mesh.self.VM); at >= 0 {
		return at
	}
	return trialTurns
}

// judgeRequest takes in what an attempt shows of the request: whether its server ended
// under it.
func (r *Relay) judgeRequest(a *attempt, v outcome) {
	a.job.trial = a.job.trial && !v.sent
	switch {
	case v.done || a.status != 0 && v.reason == shed.ReasonServerError:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.tellSuspects(r.poison.Ran(time.Now(), a.job.fingerprint))
	case v.sent && a.failed && r.endedBy(a.err, a.choice.Server.ServerEntry):
		r.mu.Lock()
		defer r.mu.Unlock()
		r.endedUnder(a.job.ask.ID, shed.RequestRef{Request: a.job.fingerprint, Workspace: a.job.workspace}, a.choice.Server.ServerEntry)
	}
}

// endedUnder notes that a server ended while it ran a request. The caller holds mu.
func (r *Relay) endedUnder(id shed.RequestID, o shed.RequestRef, s shed.ServerEntry) {
	r.stats.crashes.Inc(1)
	r.log.WithFields(logrus.Fields{"request": id, "fingerprint": o.Request, "server": s.ID, "born": s.StartedMs}).
		Info("server ended under a request")
	r.tellSuspects(r.poison.Crashed(time.Now(), o.Request, o.Workspace, startOf(s)))
}

// judgePieces takes in what a call for pieces shows of their requests. The caller holds
// mu.
func (r *Relay) judgePieces(a batch.Send, end batch.CallEnded) {
	if !end.Crashed && (end.Results == nil || r.poison.Empty()) {
		return
	}
	seen := map[shed.Fingerprint]bool{}
	for _, p := range a.Pieces {
		o := shed.RequestRef{Request: poison.PoolFingerprint(p.Origin.Request, a.Server.Pool), Workspace: p.Origin.Workspace}
		switch {
		case seen[o.Request]:
		case end.Crashed:
			r.endedUnder(p.Request, o, a.Server)
		case r.poison.IsSuspect(o.Request):
			r.tellSuspects(r.poison.Ran(time.Now(), o.Request))
		}
		seen[o.Request] = true
	}
}

// endedBy tells whether a connection broke since its server ended.
func (r *Relay) endedBy(err error, s shed.ServerEntry) bool {
	return closedByServer(err) && r.serverEnded(s)
}

// closedByServer tells whether the server's side closed the connection: not one that fell
// silent or was ended here.
func closedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func startOf(s shed.ServerEntry) shed.ServerStart {
	return shed.ServerStart{Server: s.ID, StartedMs: s.StartedMs}
}

// serverEnded tells whether a server whose connection broke has ended. Servers close
// connections for other reasons as well; one that has ended takes none.
func (r *Relay) serverEnded(s shed.ServerEntry) bool {
	r.mu.Lock()
	known := r.poison.RecentlyCrashed(time.Now(), startOf(s))
	r.mu.Unlock()
	if known {
		return true
	}
	c, err := r.cfg.Dial(r.base, "tcp", s.Addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || timedOut(err)
	}
	defer func() { _ = c.Close() }()
	// Something in front of a server that has ended may take the connection, and close it.
	if err := c.SetReadDeadline(time.Now().Add(closesWithin)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// tellCrashes tells peers of requests that crash servers. The caller holds mu.
func (r *Relay) tellCrashes(now time.Time) {
	for _, t := range r.poison.DueReports(now, r.alive()) {
		r.client.SendAll(t.To, t.Update)
	}
}

// tellSuspects logs what is believed anew of requests that may crash servers, and tells
// peers at once. The caller holds mu.
func (r *Relay) tellSuspects(changes []poison.Change) {
	if len(changes) > 0 {
		r.tellCrashes(time.Now())
	}
	for _, c := range changes {
		r.stats.beliefs.Inc(1)
		r.log.WithFields(logrus.Fields{
			"reason": c.Reason, "fingerprint": c.Request, "workspace": c.Workspace, "crashes": c.Crashes, "for_ms": c.RefusedFor.Milliseconds(),
		}).Warn("suspect")
	}
}
