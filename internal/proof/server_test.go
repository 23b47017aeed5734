package proof

import (
	"fmt"
	"time"

	shed "jasmineshed"
)

// server is a fake backend server. Cold, it bears few calls at once and says
// so to nobody but the journal.
type server struct {
	world    *world
	id       shed.ServerID
	zone     shed.ZoneID
	capacity int
	bears    int
	takes    time.Duration

	boot     int
	cold     bool
	doneCold int
	done     uint64
	sequence uint64
	running  map[shed.Call]*serving
	// down: it gives no load reports and refuses connections.
	down bool
}

// serving is one call that runs on a server.
type serving struct {
	over bool
	// ended tells the caller; without a result its connection broke.
	ended func(result string)
}

// warmAfter is how many calls a cold server must complete to be warm.
const warmAfter = 4

func (s *server) labels() []string { return []string{string(s.zone), string(s.id)} }

// restart makes the server cold; what ran on it is lost, and the connections
// break.
func (s *server) restart() {
	s.boot++
	s.cold, s.doneCold, s.done, s.sequence = true, 0, 0, 0
	for _, c := range sortedCalls(s.running) {
		r := s.running[c]
		r.over = true
		r.ended("")
	}
	s.running = map[shed.Call]*serving{}
}

func (s *server) bootID() string { return fmt.Sprintf("%s/%d", s.id, s.boot) }

func (s *server) report() shed.LoadReport {
	s.sequence++
	return shed.LoadReport{
		Boot: s.bootID(), Sequence: s.sequence,
		Running: len(s.running), Warm: !s.cold, Done: s.done,
	}
}

// take runs a call; false means refused before it was run. ended is called
// once, with what the call produced, or with nothing if the server restarted.
func (s *server) take(call shed.Call, stage shed.StageID, in string, ended func(result string)) bool {
	if s.cold && len(s.running) >= s.bears {
		s.world.overload = append(s.world.overload, overload{
			server: s.id, at: s.world.now, running: len(s.running) + 1, bears: s.bears,
		})
		return false
	}
	if len(s.running) >= s.capacity || s.running[call] != nil {
		return false
	}
	r := &serving{ended: ended}
	s.running[call] = r
	s.world.runs = append(s.world.runs, &serverRun{
		server: s.id, zone: s.zone, request: call.Request, stage: stage, attempt: call.Attempt, began: s.world.now,
	})
	s.world.after(s.takes, func() {
		if r.over {
			return
		}
		r.over = true
		delete(s.running, call)
		s.done++
		if s.doneCold++; s.cold && s.doneCold >= warmAfter {
			s.cold = false
		}
		ended(resultOf(call.Request, stage, in))
	})
	return true
}

// cancel stops a call that nobody wants any more.
func (s *server) cancel(call shed.Call) {
	if r := s.running[call]; r != nil {
		r.over = true
		delete(s.running, call)
	}
}

// resultOf is what a stage makes of its input. It names the request, so that
// an answer made of another request's results shows.
func resultOf(id shed.RequestID, stage shed.StageID, in string) string {
	return in + ">" + string(stage) + "(" + string(id) + ")"
}
