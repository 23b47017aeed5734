package resv

import (
	"math"
	"time"

	shed "jasmineshed"
)

const (
	// slotWidth is the resolution at which promised pieces are counted.
	slotWidth = 50 * time.Millisecond
	// anyRank is less urgent than all ranks.
	anyRank = math.MaxInt
)

// slots counts what is promised for each slotWidth of time.
type slots struct {
	at map[int64]*slot
	// first is the earliest slot that may be in use.
	first int64
}

// slot is what is promised for one slotWidth.
type slot struct {
	// used is how many of the pieces that the pool produces in the slot are promised. A reservation
	// of many pieces uses several slots.
	used float64
	// due are the reservations that are due in the slot, promised their pieces by rank.
	due      []shed.Fingerprint
	promised []rankPieces
}

// rankPieces is a number of pieces of one rank.
type rankPieces struct{ rank, pieces int }

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotWidth) }

func startOf(at int64) time.Time { return time.Unix(0, at*int64(slotWidth)) }

func (s *slots) get(at int64) *slot {
	if s.at[at] == nil {
		if len(s.at) == 0 || at < s.first {
			s.first = at
		}
		s.at[at] = &slot{}
	}
	return s.at[at]
}

// find returns the earliest time between from and until at which a number of pieces is free, if rate pieces
// per second may be promised, and the last slot that they use.
func (s *slots) find(from, until time.Time, pieces, rate float64) (due time.Time, last int64, ok bool) {
	perSlot := rate * slotWidth.Seconds()
	left := pieces
	for at := slotOf(from); startOf(at).Before(until); at++ {
		used := 0.0
		if sl := s.at[at]; sl != nil {
			used = sl.used
		}
		if left -= max(perSlot-used, 0); left > 0 {
			continue
		}
		// The pieces are complete at the slot's end, less what remains free of it.
		end := startOf(at + 1).Add(-shed.Scale(slotWidth, -left/perSlot))
		due := shed.Later(from, end.Add(-shed.Scale(time.Second, pieces/rate)))
		return due, at, !due.After(until)
	}
	return time.Time{}, 0, false
}

// use marks pieces as used in the free parts of the slots from a time to the slot last.
func (s *slots) use(from time.Time, last int64, pieces, rate float64) {
	perSlot := rate * slotWidth.Seconds()
	for at := slotOf(from); at <= last; at++ {
		sl := s.get(at)
		n := min(max(perSlot-sl.used, 0), pieces)
		sl.used += n
		pieces -= n
	}
}

// add records a reservation.
func (s *slots) add(due time.Time, f shed.Fingerprint, rank, pieces int) {
	sl := s.get(slotOf(due))
	sl.due = append(sl.due, f)
	sl.addPieces(rank, pieces)
}

func (s *slot) addPieces(rank, pieces int) {
	for i := range s.promised {
		if s.promised[i].rank == rank {
			s.promised[i].pieces += pieces
			return
		}
	}
	s.promised = append(s.promised, rankPieces{rank: rank, pieces: pieces})
}

// remove removes the pieces of a reservation.
func (s *slots) remove(due time.Time, rank, pieces int) {
	if sl := s.at[slotOf(due)]; sl != nil {
		sl.addPieces(rank, -pieces)
	}
}

// promised returns how many pieces are promised to a rank and more urgent ones within a time.
func (s *slots) promised(from, until time.Time, rank int) int {
	n := 0
	for at := slotOf(from); at <= slotOf(until); at++ {
		if sl := s.at[at]; sl != nil {
			for _, p := range sl.promised {
				if p.rank <= rank {
					n += p.pieces
				}
			}
		}
	}
	return n
}

// popBefore removes the slots that end before a time and returns the reservations that were due in them.
func (s *slots) popBefore(t time.Time) []shed.Fingerprint {
	var out []shed.Fingerprint
	for ; len(s.at) > 0 && s.first < slotOf(t); s.first++ {
		if sl := s.at[s.first]; sl != nil {
			out = append(out, sl.due...)
			delete(s.at, s.first)
		}
	}
	return out
}

// grants counts the pieces of granted requests that haven't arrived.
type grants struct {
	pieces map[shed.Fingerprint]int
	queue  decisions
	total  int
}

// decisions are the requests that were decided on, the earliest first.
type decisions []decision

type decision struct {
	fingerprint shed.Fingerprint
	at          time.Time
}

func (d *decisions) add(now time.Time, f shed.Fingerprint) {
	*d = append(*d, decision{fingerprint: f, at: now})
}

// dropOlder drops the decisions from before a time, and calls forget for each.
func (d *decisions) dropOlder(t time.Time, forget func(shed.Fingerprint)) {
	for len(*d) > 0 && (*d)[0].at.Before(t) {
		forget((*d)[0].fingerprint)
		*d = (*d)[1:]
	}
}

func (g *grants) add(now time.Time, f shed.Fingerprint, pieces int) {
	g.pieces[f] += pieces
	g.total += pieces
	g.queue.add(now, f)
}

func (g *grants) remove(f shed.Fingerprint) {
	g.total -= g.pieces[f]
	delete(g.pieces, f)
}

// pending returns the pieces of the grants within grantRetention.
func (g *grants) pending(now time.Time) int {
	g.queue.dropOlder(now.Add(-grantRetention), g.remove)
	return g.total
}

// refused remembers the targets of requests that got no reservation, as measured from their first attempt. A
// retry that can't meet it would take the place of a request that can be in time.
type refused struct {
	targets map[shed.Fingerprint]time.Time
	queue   decisions
}

func (r *refused) add(now time.Time, a Request) {
	if _, ok := r.targets[a.Fingerprint]; ok || len(r.targets) >= MaxReservations {
		return
	}
	r.targets[a.Fingerprint] = now.Add(a.ToTarget)
	r.queue.add(now, a.Fingerprint)
}

// isLate reports whether a request is a retry that can't meet its target.
func (r *refused) isLate(now time.Time, a Request) bool {
	target, ok := r.targets[a.Fingerprint]
	return ok && now.Add(a.Least).After(target)
}

func (r *refused) expire(now time.Time) {
	r.queue.dropOlder(now.Add(-refusedRetention), func(f shed.Fingerprint) { delete(r.targets, f) })
}
