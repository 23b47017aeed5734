// Package room models the result capacity of the servers that run pieces: what is free, what is in
// use, and how long pieces wait for it. It does no I/O and reads no clock.
//
// Load pattern: bursts of requests with large results. Results occupy their server for several
// times as long as the call that produced them, so the servers run out of capacity at two thirds of
// the throughput that their calls alone would have. And after a restart of all VMs, servers still
// hold results that nobody will free.
package room

import (
	"time"

	shed "jasmineshed"
)

const (
	// usableShare is the share of a server's result capacity that is used; result sizes are
	// approximate.
	usableShare = 0.92
	// bindingCalls: the capacity can limit a pool if it is less than this many full calls of the
	// largest result.
	bindingCalls = 2
)

// Usable returns how many bytes of results are placed on one server.
func Usable(l shed.BatchLimits) int64 { return int64(float64(l.ResultCapacity) * usableShare) }

// CanBind reports whether the capacity for results can limit the pool's throughput.
func CanBind(l shed.BatchLimits) bool {
	return l.ResultCapacity > 0 && Usable(l) < bindingCalls*int64(l.MaxPieces)*l.LargestResult
}

// Forecast predicts the capacity for results of a pool; its zero value means that the capacity can't
// bind or isn't known.
type Forecast struct {
	// FreeBytes is the free capacity beyond what is released during calls, PendingBytes the size of the
	// results of pending pieces that can still meet their target.
	FreeBytes, PendingBytes int64
	// ByteRate is how many bytes of results per second the pool has capacity for; 0 if unknown.
	ByteRate float64
}

// After returns the forecast at a later time if no further pieces arrive.
func (f Forecast) After(d time.Duration) Forecast {
	f.PendingBytes = max(f.PendingBytes-int64(f.ByteRate*d.Seconds()), 0)
	return f
}

// Add adds a server. A result occupies its capacity during its call and then for stay, so what isn't
// held for other VMs allows a throughput of capacity / (call + stay).
//
// While the server runs a call, capacity that is released is unused until the call ends. That is part
// of the throughput: if it counted as free too, a pool with a long queue would always be predicted to
// have a fifth of its capacity free.
func (f *Forecast) Add(now time.Time, s *Server, l shed.BatchLimits, call, stay time.Duration, running bool) {
	foreign, released := s.foreign(now)
	rate := float64(max(Usable(l)-foreign, 0)) / max(call+stay, time.Millisecond).Seconds()
	free := s.Free(now, l)
	if running {
		free -= int64(rate * call.Seconds() / 2)
	}
	f.FreeBytes += max(free, 0)
	f.ByteRate += rate + released
}

// LimitRate returns the rate at which the pool produces pieces with results of the given size if its calls
// alone allow rate pieces per second.
func (f Forecast) LimitRate(rate float64, l shed.BatchLimits, result int64) float64 {
	if f.ByteRate <= 0 || result <= 0 || 2*result < l.LargestResult {
		return rate
	}
	return min(rate, f.ByteRate/float64(result))
}

// Wait predicts how long pieces with results of the given size wait for capacity, behind the pending
// pieces and expectedBytes of pieces that are still to come.
//
// Only results of at least half the largest one queue behind the pending ones. A server that has no
// capacity for another large result has half of one free on average, and a call takes every piece
// whose result fits, so smaller results only wait if nothing is free.
func (f Forecast) Wait(l shed.BatchLimits, pieces int, result, expectedBytes int64) time.Duration {
	if f.ByteRate <= 0 || l.LargestResult == 0 || result == 0 {
		return 0
	}
	needed := int64(pieces) * result
	if 2*result >= l.LargestResult {
		needed += f.PendingBytes + expectedBytes
	}
	seconds := float64(max(needed-f.FreeBytes, 0)) / f.ByteRate
	return time.Duration(seconds * float64(time.Second))
}
