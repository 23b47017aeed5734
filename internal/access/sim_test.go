package access_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/access"
	"jasmineshed/internal/vclock"
)

const (
	simVMs, simServers = 9, 3
	// A server runs simSlots requests for simRun each and queues simQueue, and turns others away
	// with a rest of simRest. From shedFrom to shedTo it turns all away.
	simSlots         = 4
	simQueue         = 12
	simRun           = 200 * time.Millisecond
	simRest          = 3 * time.Second
	shedFrom, shedTo = 3 * time.Second, 9 * time.Second
	simTime          = 20 * time.Second
	// Callers send simRate requests a second, and return once if they are told to.
	simRate     = 45.0
	simTarget   = time.Second
	simDeadline = 8 * time.Second
)

// way is one way to deal with rests.
type way struct {
	name string
	// heeds: rests are kept. probes: the first request after a rest goes alone.
	heeds, probes bool
	// waits: a request waits for the end of a rest if it can meet its target, or with untilDeadline
	// its deadline. spreads: refused callers return one after the other.
	waits, untilDeadline, spreads bool
}

var ways = []way{
	{name: "rests not kept"},
	{name: "refused at once, returns together", heeds: true},
	{name: "refused at once, returns spread", heeds: true, spreads: true},
	{name: "waits until its deadline", heeds: true, waits: true, untilDeadline: true, spreads: true},
	{name: "waits until its target", heeds: true, waits: true, spreads: true},
	{name: "the same, first request alone", heeds: true, waits: true, spreads: true, probes: true},
	{name: "refused at once, first request alone", heeds: true, spreads: true, probes: true},
}

// sim simulates callers, VMs and servers that turn away, in virtual time.
type sim struct {
	vclock.Clock
	way
	// fullRests: a server with a full queue asks for rest, too.
	fullRests bool
	rnd       *rand.Rand
	tables    []*access.Table
	// running counts the requests that a server runs or queues; freeAt is when each slot is free.
	running [simServers]int
	freeAt  [simServers][simSlots]time.Time

	sent, inTime, late, turnedAway, most int
	rests                                map[[2]int]time.Time
	inRest                               map[[2]int]int
}

// request is one request of a caller.
type request struct {
	sentAt  time.Time
	sends   int
	returns bool
}

func serverStart(i int) shed.ServerStart {
	return shed.ServerStart{Server: shed.ServerID(fmt.Sprint(i))}
}

func runSim(w way, fullRests bool, seed uint64) *sim {
	s := &sim{
		fullRests: fullRests,
		Clock:     vclock.Clock{Now: start}, way: w, rnd: rand.New(rand.NewPCG(seed, 1)),
		rests: map[[2]int]time.Time{}, inRest: map[[2]int]int{},
	}
	for range simVMs {
		s.tables = append(s.tables, access.New())
	}
	var arrive func()
	arrive = func() {
		s.sent++
		s.serve(request{sentAt: s.Now})
		s.After(time.Duration(s.rnd.ExpFloat64()/simRate*float64(time.Second)), arrive)
	}
	s.After(0, arrive)
	s.Run(simTime)
	return s
}

// serve has a random VM place a request.
func (s *sim) serve(r request) { s.place(s.rnd.IntN(simVMs), r) }

func (s *sim) place(vm int, r request) {
	left := time.Duration(0)
	for _, i := range s.rnd.Perm(simServers) {
		rest := time.Duration(0)
		if s.heeds {
			rest = s.tables[vm].RestLeft(s.Now, serverStart(i))
		}
		if rest == 0 {
			s.send(vm, i, r)
			return
		}
		if left == 0 || rest < left {
			left = rest
		}
	}
	limit := simTarget
	if s.untilDeadline {
		limit = simDeadline
	}
	if !s.waits {
		limit = 0
	}
	w := access.Wait{RestLeft: left, ToTarget: r.sentAt.Add(limit).Sub(s.Now), Answer: simRun}
	if s.spreads {
		w.Fraction = s.rnd.Float64()
	}
	wait, retryAfter := w.Decide()
	if retryAfter == 0 {
		s.After(wait, func() { s.place(vm, r) })
		return
	}
	s.refuse(r, retryAfter)
}

// refuse refuses a request; its caller returns once, within a third of the time that it has left.
func (s *sim) refuse(r request, retryAfter time.Duration) {
	if r.returns {
		return
	}
	r.returns, r.sends = true, 0
	s.After(min(retryAfter, r.sentAt.Add(simDeadline).Sub(s.Now)/3), func() { s.serve(r) })
}

func (s *sim) send(vm, i int, r request) {
	table, sentAt := s.tables[vm], s.Now
	if s.heeds {
		table.Reserve(s.Now, serverStart(i))
		if !s.probes {
			table.Accepted(serverStart(i), s.Now)
		}
	}
	s.countInRest(vm, i)
	day := s.Now.Sub(start)
	sheds := day >= shedFrom && day < shedTo
	if sheds || s.running[i] >= simSlots+simQueue {
		s.turnedAway++
		if sheds || s.fullRests {
			table.Rest(s.Now, serverStart(i), simRest)
			s.rests[[2]int{vm, i}] = s.Now
			s.inRest[[2]int{vm, i}] = 0
		}
		if r.sends++; r.sends < 2 {
			s.place(vm, r)
		} else {
			s.refuse(r, 300*time.Millisecond)
		}
		return
	}
	s.running[i]++
	table.Accepted(serverStart(i), sentAt)
	slot := 0
	for n, at := range s.freeAt[i] {
		if at.Before(s.freeAt[i][slot]) {
			slot = n
		}
	}
	s.freeAt[i][slot] = shed.Later(s.Now, s.freeAt[i][slot]).Add(simRun)
	s.After(s.freeAt[i][slot].Sub(s.Now), func() {
		s.running[i]--
		switch took := s.Now.Sub(r.sentAt); {
		case took <= simTarget:
			s.inTime++
		case took <= simDeadline:
			s.late++
		}
	})
}

// countInRest counts a request that reaches a server within a rest.
func (s *sim) countInRest(vm, i int) {
	key := [2]int{vm, i}
	if at, ok := s.rests[key]; ok && s.Now.Sub(at) > 500*time.Millisecond && s.Now.Sub(at) < simRest {
		s.inRest[key]++
		s.most = max(s.most, s.inRest[key])
	}
}

// TestWaysToKeepRests compares ways to deal with servers that rest, on the same load and seeds.
func TestWaysToKeepRests(t *testing.T) {
	const seeds = 20
	var out bytes.Buffer
	for _, fullRests := range []bool{false, true} {
		fmt.Fprintf(&out, "servers with a full queue ask for rest: %v\n", fullRests)
		fmt.Fprintf(&out, "%-40s %8s %8s %12s %12s\n", "way", "in time", "late", "turned away", "in one rest")
		for _, w := range ways {
			var sent, timely, late, away, most int
			for seed := range uint64(seeds) {
				s := runSim(w, fullRests, seed)
				sent, timely, late, away, most = sent+s.sent, timely+s.inTime, late+s.late, away+s.turnedAway, max(most, s.most)
			}
			share := func(n int) float64 { return float64(n) / float64(sent) }
			fmt.Fprintf(&out, "%-40s %8.3f %8.3f %12.3f %12d\n", w.name, share(timely), share(late), share(away), most)
			if w.heeds {
				require.Zero(t, most, w.name)
			}
		}
	}
	t.Log("\n" + out.String())
	goldie.New(t).Assert(t, "ways", out.Bytes())
}
