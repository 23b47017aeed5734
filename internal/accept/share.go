package accept

// memory is about how many of a route's latest requests its share looks back on. It
// counts requests, not time: at a VM that sees few of them, a share by time would
// hardly ever leave its start value.
const shareWindow = 12

// share is the part of a route's latest requests that were let in, from 0 to 1.
type share float64

// add takes one more request in.
func (s *share) add(letIn bool) {
	*s -= *s / shareWindow
	if letIn {
		*s += 1.0 / shareWindow
	}
}
