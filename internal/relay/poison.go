package relay

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/poison"
	"jasmineshed/internal/rank"
	"jasmineshed/internal/reach"

	"github.com/sirupsen/logrus"
)

// trialCandidates is how many VMs may, in turn, try a request after its quarantine.
const trialCandidates = 4

// closeProbeTimeout is how soon a connection to an ended server is closed, if it is accepted at
// all; carriedCloseTimeout is the same for a connection that a peer carries.
const (
	closeProbeTimeout   = 30 * time.Millisecond
	carriedCloseTimeout = 100 * time.Millisecond
)

// rejectSuspect refuses a request known to crash servers before any work is done for it.
func (r *Relay) rejectSuspect(j *job) *refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, refused := r.checkSuspect(time.Now(), j)
	return refused
}

// checkSuspect refuses a request known to crash servers, and reports whether a suspected one
// has to run isolated from others. The caller holds mu.
func (r *Relay) checkSuspect(now time.Time, j *job) (isolate bool, refused *refusal) {
	if j.trial || r.poison.Empty() {
		return j.trial, nil
	}
	for _, f := range j.suspectFingerprints() {
		v := r.poison.Decide(now, f, func() int { return r.trialRank(f) })
		if v.Refused {
			j.blamed = f
			return false, r.adjustRefusal(j, &refusal{status: http.StatusServiceUnavailable, reason: reasonCrashes, retryAfter: v.RetryAfter})
		}
		j.trial = j.trial || v.Trial
		isolate = isolate || v.Isolate
	}
	return isolate, nil
}

// partFingerprints returns the fingerprints of the parts of the prompt that other requests may share.
func (j *job) partFingerprints() []shed.Fingerprint {
	if j.parts == nil {
		j.parts = poison.PartFingerprints(j.pool.ID, j.request.Prompt)
	}
	return j.parts
}

// blamedPart returns the id of the part for which the request was refused; empty if it was not for a part.
func (j *job) blamedPart() string {
	if at := slices.Index(j.parts, j.blamed); at >= 0 {
		return j.request.Prompt[at].ID
	}
	return ""
}

// suspectFingerprints returns what may crash servers: the request itself, the parts of its prompt, and
// its pieces until they are complete.
func (j *job) suspectFingerprints() []shed.Fingerprint {
	out := append([]shed.Fingerprint{j.fingerprint}, j.partFingerprints()...)
	if j.inputsReady {
		return out
	}
	for _, s := range j.route.Steps {
		if f := poison.PoolFingerprint(j.fingerprint, s.Pool); !slices.Contains(out, f) {
			out = append(out, f)
		}
	}
	return out
}

// trialRank returns this VM's place among the trial candidates of a request after its
// quarantine.
func (r *Relay) trialRank(f shed.Fingerprint) int {
	owners := rank.Owners(f.String(), append(r.alivePeers(), r.mesh.self.VM), trialCandidates)
	if at := slices.Index(owners, r.mesh.self.VM); at >= 0 {
		return at
	}
	return trialCandidates
}

// assessAttempt records whether the request's server crashed or survived the attempt.
func (r *Relay) assessAttempt(a *attempt, v outcome) {
	a.job.trial = a.job.trial && !v.sent
	switch {
	case v.done || a.status != 0 && v.reason == shed.ReasonServerError:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reportSuspects(r.poison.Ran(time.Now(), a.job.fingerprint))
		if !a.begun {
			r.reportSuspects(r.poison.RanParts(time.Now(), a.job.partFingerprints()))
		}
	case v.sent && a.serverFailed && r.isCrash(a.err, a.choice.Server.ServerEntry):
		r.logInterrupted(a)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.recordCrash(a.job.request.ID, a.job.requestRef(), a.choice.Server.ServerEntry)
		if !a.begun {
			r.reportSuspects(r.poison.CrashedParts(time.Now(), a.job.partFingerprints(), a.job.workspace, a.choice.Server.Start()))
		}
	}
}

// requestRef identifies the request when servers crash while running it.
func (j *job) requestRef() shed.RequestRef {
	return shed.RequestRef{Request: j.fingerprint, Workspace: j.workspace, Rank: max(j.rank, 0)}
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 16

// logInterrupted logs what a request that a server's end interrupted has in common with others, and how
// far its answer had come.
func (r *Relay) logInterrupted(a *attempt) {
	prompt := a.job.request.Prompt
	var parts []string
	for _, p := range prompt[:min(len(prompt), maxLoggedParts)] {
		parts = append(parts, p.ID)
	}
	r.log.WithFields(logrus.Fields{
		"request": a.job.request.ID, "server": a.choice.Server.ID, "workspace": a.job.workspace, "parts": parts, "all_parts": len(prompt),
		"begun": a.begun, "status": a.status,
	}).Info("request interrupted by the end of its server")
}

// recordCrash records that a server ended while it ran a request. The caller holds mu.
func (r *Relay) recordCrash(id shed.RequestID, ref shed.RequestRef, s shed.ServerEntry) {
	r.stats.crashes.Inc(1)
	r.log.WithFields(logrus.Fields{"request": id, "fingerprint": ref.Request, "server": s.ID, "born": s.StartedMs}).
		Info("server ended under a request")
	r.reportSuspects(r.poison.Crashed(time.Now(), ref.Request, ref.Workspace, s.Start()))
}

// assessPieces records for each request of a piece call whether the server crashed or survived.
// The caller holds mu.
func (r *Relay) assessPieces(a batch.Send, end batch.CallEnded) {
	if !end.Crashed && (end.Results == nil || r.poison.Empty()) {
		return
	}
	seen := map[shed.Fingerprint]bool{}
	for _, p := range a.Pieces {
		ref := shed.RequestRef{Request: poison.PoolFingerprint(p.Origin.Request, a.Server.Pool), Workspace: p.Origin.Workspace}
		switch {
		case seen[ref.Request]:
		case end.Crashed:
			r.recordCrash(p.Request, ref, a.Server)
		case r.poison.IsSuspect(ref.Request):
			r.reportSuspects(r.poison.Ran(time.Now(), ref.Request))
		}
		seen[ref.Request] = true
	}
}

// isCrash reports whether a connection broke because its server ended.
func (r *Relay) isCrash(err error, s shed.ServerEntry) bool {
	return closedByServer(err) && r.serverEnded(s)
}

// closedByServer reports whether the server's side closed the connection, as opposed to a
// connection that timed out or was closed here.
func closedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// serverEnded reports whether a server whose connection broke has ended. Servers close
// connections for other reasons as well; one that has ended accepts none.
func (r *Relay) serverEnded(s shed.ServerEntry) bool {
	r.mu.Lock()
	known := r.poison.RecentlyCrashed(time.Now(), s.Start())
	r.mu.Unlock()
	if known {
		return true
	}
	ctx, cancel := r.withTimeout(r.base, r.prefs.Load().Relay.Connect)
	defer cancel()
	c, err := r.cfg.Dial(ctx, "tcp", s.Addr)
	if err != nil {
		return (errors.Is(err, syscall.ECONNREFUSED) || timedOut(err)) && r.peersAreRefused(s)
	}
	defer func() { _ = c.Close() }()
	// A proxy in front of an ended server may accept the connection and then close it.
	if err := c.SetReadDeadline(time.Now().Add(closeProbeTimeout)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return closedByServer(err) && r.peersAreRefused(s)
}

// peersAreRefused reports whether peers are refused too by a server that refused this VM or closed its
// connection at once. A VM that lost its path is refused by servers that live, and so are peers that lost
// theirs: one that keeps a connection is proof enough. One that declines says nothing.
func (r *Relay) peersAreRefused(s shed.ServerEntry) bool {
	ctx, cancel := r.withTimeout(r.base, carryTimeout)
	defer cancel()
	refused, connected := false, false
	r.askCarriers(ctx, peers.CarryCall{Addr: s.Addr, Probe: true}, func(c net.Conn, err error) (done bool) {
		switch {
		case errors.Is(err, peers.ErrCarryUnreachable), err == nil && isClosedAtOnce(c):
			refused = true
		case err == nil:
			connected = true
		}
		return connected
	})
	switch {
	case connected:
		r.comparePaths(reach.Addr(s.Addr), reach.Closed, reach.Connected)
		return false
	case refused:
		return true
	}
	return !r.isPathLost(reach.Addr(s.Addr))
}

// isClosedAtOnce reports whether the server's side closes a connection that a peer carries, and closes it.
func isClosedAtOnce(c net.Conn) bool {
	// Carried connections have no deadlines.
	limit := time.AfterFunc(carriedCloseTimeout, func() { _ = c.Close() })
	_, err := c.Read(make([]byte, 1))
	inTime := limit.Stop()
	_ = c.Close()
	return inTime && closedByServer(err)
}

// notifyCrashes sends due crash updates to peers. The caller holds mu.
func (r *Relay) notifyCrashes(now time.Time) {
	for _, t := range r.poison.DueReports(now, r.alivePeers()) {
		r.client.SendAll(t.To, t.Update)
	}
}

// reportSuspects logs changes about requests that may crash servers, and notifies peers at
// once. The caller holds mu.
func (r *Relay) reportSuspects(changes []poison.Change) {
	if !r.poison.Empty() {
		// An answer here may clear what a peer suspects, so this can't wait for the next tick.
		r.notifyCrashes(time.Now())
	}
	for _, c := range changes {
		r.stats.stateChanges.Inc(1)
		r.log.WithFields(logrus.Fields{
			"reason": c.Reason, "kind": c.Kind, "fingerprint": c.Request, "workspace": c.Workspace, "crashes": c.Crashes, "for_ms": c.RefusedFor.Milliseconds(),
		}).Warn("suspect")
	}
}
