package proof

import (
	"fmt"
	"time"

	shed "jasmineshed"
)

// invariant describes one property that must always hold.
type invariant string

// The invariants in the order in which they are reported.
const (
	resultIntegrity  invariant = "no stage result is lost, doubled or handed to another request"
	coldLimit        invariant = "a cold server gets no more work than it bears"
	zoneOutOfService invariant = "a zone that was taken out gets no new work after a few seconds"
	completeAnswer   invariant = "each caller receives the whole answer to their own request"
	truthfulNotRun   invariant = "a refusal that says not run is true"
	atMostOnce       invariant = "a non-idempotent request runs at most once"
	serverLeaving    invariant = "a server that is leaving gets no new work after a few seconds"
	gracefulStop     invariant = "a planned stop cuts off no request"
	configConverges  invariant = "an accepted configuration is in force everywhere and never reverts"
)

var invariants = []invariant{
	resultIntegrity, coldLimit, zoneOutOfService, completeAnswer, truthfulNotRun, atMostOnce, serverLeaving, gracefulStop, configConverges,
}

// violation is one case in which an invariant did not hold.
type violation struct {
	invariant invariant
	detail    string
}

func (v violation) String() string { return string(v.invariant) + ": " + v.detail }

// maxStopDuration is how long a planned stop may take: the notice, the longest request and some
// slack.
const maxStopDuration = deadline + 3*time.Second

// bounds are the delays that the oracle allows.
type bounds struct {
	// newWork is how long after a change new work may still begin; 0 means not checked.
	newWork time.Duration
	// answerDelay is how long after its deadline a caller may still wait; 0 means not checked.
	answerDelay time.Duration
	// propagation is how long a revision may take to be in force everywhere; 0 means not checked.
	propagation time.Duration
}

// checkInvariants checks the journal against all invariants.
func (w *world) checkInvariants(b bounds) []violation {
	var out []violation
	fail := func(p invariant, format string, args ...any) {
		out = append(out, violation{p, fmt.Sprintf(format, args...)})
	}
	w.checkRuns(fail)
	w.checkAnswers(b, fail)
	w.checkClosed(b, fail)
	w.checkConfig(b, fail)
	for _, o := range w.coldOverloads {
		fail(coldLimit, "%s had %d calls at %s, its cold capacity is %d", o.server, o.running, w.since(o.at), o.coldCapacity)
	}
	for _, s := range w.stops {
		if s.abortedCallers > 0 {
			fail(gracefulStop, "the stop of %s broke the connections of %d callers", s.vm, s.abortedCallers)
		}
		if s.ended.IsZero() && !s.killed && w.now.Sub(s.requested) > maxStopDuration {
			fail(gracefulStop, "the stop of %s requested at %s did not end in time", s.vm, w.since(s.requested))
		}
	}
	return out
}

func (w *world) since(t time.Time) time.Duration { return t.Sub(epoch) }

type failFunc func(p invariant, format string, args ...any)

// checkRuns checks what ran on the servers.
func (w *world) checkRuns(fail failFunc) {
	type attempt struct {
		request shed.RequestID
		stage   shed.StageID
		n       uint16
	}
	seen := map[attempt]bool{}
	published := map[shed.RequestID]int{}
	for _, r := range w.runs {
		k := attempt{r.request, r.stage, r.attempt}
		if seen[k] {
			fail(resultIntegrity, "attempt %d of %s/%s ran twice", r.attempt, r.request, r.stage)
		}
		seen[k] = true
		if r.stage == "publish" {
			if published[r.request]++; published[r.request] > 1 {
				fail(atMostOnce, "%s published %d times", r.request, published[r.request])
			}
		}
	}
}

// checkAnswers checks what callers received.
func (w *world) checkAnswers(b bounds, fail failFunc) {
	ran := map[shed.RequestID]bool{}
	for _, r := range w.runs {
		ran[r.request] = true
	}
	for _, a := range w.callerRequests {
		if a.broken && len(a.answers) == 0 {
			continue
		}
		if len(a.answers) != 1 {
			fail(completeAnswer, "request %s to %s, sent at %s, has %d answers", a.request, a.vm, w.since(a.at), len(a.answers))
			continue
		}
		got := a.answers[0]
		if b.answerDelay > 0 && got.at.After(a.at.Add(deadline+b.answerDelay)) {
			fail(completeAnswer, "%s was answered %s after its arrival", a.request, got.at.Sub(a.at))
		}
		if got.outcome == shed.OutcomeComplete && got.payload != expectedResult(a.request, a.pipeline, a.input) {
			fail(resultIntegrity, "%s got %q", a.request, got.payload)
		}
		if got.outcome == shed.OutcomeNotRun && ran[a.request] {
			fail(truthfulNotRun, "%s was answered not_run (%s), but ran", a.request, got.reason)
		}
	}
}

// checkClosed looks for new work in zones that are out of service and at servers that are leaving.
func (w *world) checkClosed(b bounds, fail failFunc) {
	if b.newWork == 0 {
		return
	}
	for _, r := range w.runs {
		since, out := w.closedSince(r.started, func(c change) bool { return c.out[r.zone] })
		if out && r.started.After(since.Add(b.newWork)) {
			fail(zoneOutOfService, "%s began %s/%s %s after zone %s was taken out", r.server, r.request, r.stage, r.started.Sub(since), r.zone)
		}
		since, out = w.closedSince(r.started, func(c change) bool { return c.leaving[r.server] })
		if out && r.started.After(since.Add(b.newWork)) {
			fail(serverLeaving, "%s began %s/%s %s after it was leaving", r.server, r.request, r.stage, r.started.Sub(since))
		}
	}
}

// closedSince returns since when the rules published by time t exclude something, as reported by
// closed, and whether they do.
func (w *world) closedSince(t time.Time, closed func(change) bool) (since time.Time, out bool) {
	for _, c := range w.changes {
		if c.at.After(t) {
			break
		}
		switch {
		case !closed(c):
			out = false
		case !out:
			since, out = c.at, true
		}
	}
	return since, out
}

// checkConfig checks the revisions in force.
func (w *world) checkConfig(b bounds, fail failFunc) {
	highest := map[shed.VM]shed.Revision{}
	for _, f := range w.activations {
		if f.rev < highest[f.vm] {
			fail(configConverges, "%s went from revision %d to %d at %s", f.vm, highest[f.vm], f.rev, w.since(f.at))
		}
		highest[f.vm] = max(highest[f.vm], f.rev)
	}
	last := w.changes[len(w.changes)-1]
	if b.propagation == 0 || w.now.Sub(last.at) < b.propagation {
		return
	}
	for _, n := range w.nodes {
		if n.up && highest[n.vm] != last.rev {
			fail(configConverges, "%s has revision %d, not %d", n.vm, highest[n.vm], last.rev)
		}
	}
}

// maxLateWork returns the longest time after a zone was taken out of service, or a server set
// leaving, at which new work still began there.
func (w *world) maxLateWork() time.Duration {
	var worst time.Duration
	for _, r := range w.runs {
		for _, closed := range []func(change) bool{
			func(c change) bool { return c.out[r.zone] },
			func(c change) bool { return c.leaving[r.server] },
		} {
			if since, out := w.closedSince(r.started, closed); out {
				worst = max(worst, r.started.Sub(since))
			}
		}
	}
	return worst
}
