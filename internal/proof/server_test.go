package proof

import (
	"fmt"
	"strings"
	"time"

	shed "jasmineshed"
)

// server is a fake backend server. While cold it runs only a few calls at once; an overload is
// recorded in the journal.
type server struct {
	world        *world
	id           shed.ServerID
	zone         shed.ZoneID
	capacity     int
	coldCapacity int
	duration     time.Duration

	boot          int
	cold          bool
	completedCold int
	completed     uint64
	sequence      uint64
	running       map[shed.Call]*runningCall
	// down is set while the server sends no load reports and refuses connections.
	down bool
	// pausedUntil is when the server goes on that sends nothing until then, but keeps its
	// connections and calls.
	pausedUntil time.Time
}

// pause stops the server for d. It then goes on where it stopped.
func (s *server) pause(d time.Duration) { s.pausedUntil = s.world.now.Add(d) }

func (s *server) isPaused() bool { return s.world.now.Before(s.pausedUntil) }

// whenRunning runs do, after the pause if the server is paused.
func (s *server) whenRunning(do func()) {
	if !s.isPaused() {
		do()
		return
	}
	s.world.after(s.pausedUntil.Sub(s.world.now), func() { s.whenRunning(do) })
}

// runningCall is one call that runs on a server.
type runningCall struct {
	stopped bool
	// onEnd notifies the caller; an empty result means that its connection broke.
	onEnd func(result string)
}

// warmCallCount is how many calls a cold server must complete to be warm.
const warmCallCount = 4

func (s *server) pool() string {
	pool, _, _ := strings.Cut(string(s.id), "-")
	return pool
}

func (s *server) labels() []string { return []string{string(s.zone), string(s.id)} }

// restart makes the server cold. Its running calls are lost and their connections break.
func (s *server) restart() {
	s.boot++
	s.pausedUntil = time.Time{}
	s.cold, s.completedCold, s.completed, s.sequence = true, 0, 0, 0
	for _, c := range sortedCalls(s.running) {
		r := s.running[c]
		r.stopped = true
		r.onEnd("")
	}
	s.running = map[shed.Call]*runningCall{}
}

func (s *server) bootID() string { return fmt.Sprintf("%s/%d", s.id, s.boot) }

func (s *server) report() shed.LoadReport {
	s.sequence++
	return shed.LoadReport{
		Boot: s.bootID(), Sequence: s.sequence,
		Running: len(s.running), Warm: !s.cold, Done: s.completed,
	}
}

// accept runs a call; false means refused before it was run. onEnd is called once, with the
// call's result, or with an empty result if the server restarted.
func (s *server) accept(call shed.Call, stage shed.StageID, in string, onEnd func(result string)) bool {
	if s.cold && len(s.running) >= s.coldCapacity {
		s.world.coldOverloads = append(s.world.coldOverloads, coldOverload{
			server: s.id, at: s.world.now, running: len(s.running) + 1, coldCapacity: s.coldCapacity,
		})
		return false
	}
	if len(s.running) >= s.capacity || s.running[call] != nil {
		return false
	}
	r := &runningCall{onEnd: onEnd}
	s.running[call] = r
	s.world.runs = append(s.world.runs, &serverRun{
		server: s.id, zone: s.zone, request: call.Request, stage: stage, attempt: call.Attempt, started: s.world.now,
	})
	s.world.after(s.duration, func() {
		s.whenRunning(func() {
			if r.stopped {
				return
			}
			r.stopped = true
			delete(s.running, call)
			s.completed++
			if s.completedCold++; s.cold && s.completedCold >= warmCallCount {
				s.cold = false
			}
			onEnd(stageResult(call.Request, stage, in))
		})
	})
	return true
}

// cancel stops a call without a result.
func (s *server) cancel(call shed.Call) {
	if r := s.running[call]; r != nil {
		r.stopped = true
		delete(s.running, call)
	}
}

// stageResult returns a stage's result for its input. It names the request, so that an answer
// made from another request's results is detected.
func stageResult(id shed.RequestID, stage shed.StageID, in string) string {
	return in + ">" + string(stage) + "(" + string(id) + ")"
}
