package accept

// shareWindow is about how many of a route's latest requests its share averages over. It
// counts requests rather than time: at a VM that gets few of them, a share over a period
// would hardly ever leave its initial value.
const shareWindow = 12

// share is the moving average of a route's admitted requests, from 0 to 1.
type share float64

// add adds one more request to the average.
func (s *share) add(letIn bool) {
	*s -= *s / shareWindow
	if letIn {
		*s += 1.0 / shareWindow
	}
}
