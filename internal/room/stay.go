package room

import "time"

// maxStayWeight bounds the number of results over which a Stay is averaged; at 500 results a second,
// 100 results follow a change of load in 0.2 s.
const maxStayWeight = 100

// Stay is the moving mean of how long results stay on their servers after their call. Without
// results it is 0, which predicts the least wait for capacity.
type Stay struct {
	mean  time.Duration
	count int
}

// Add counts a result that has been released.
func (s *Stay) Add(stay time.Duration) {
	s.count = min(s.count+1, maxStayWeight)
	s.mean += (stay - s.mean) / time.Duration(s.count)
}

// Mean returns the mean.
func (s *Stay) Mean() time.Duration { return s.mean }
