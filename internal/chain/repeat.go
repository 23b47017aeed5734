package chain

// End is how a step ended. The set is closed.
type End uint8

const (
	// NotRun means that the step did not run, since one that it depends on has no results.
	NotRun End = iota
	// InputsGone means that results which the step needs no longer exist.
	InputsGone
	// Complete means that its results exist, as far as is known.
	Complete
	// Freed means that it was complete, and its results were freed after their last use.
	Freed
)

// Repeat returns which steps have to run again after some found their inputs gone: these, those whose
// results they miss, and those whose results were freed and are needed again. The others keep theirs.
func (c Chain) Repeat(ends []End) []bool {
	out := make([]bool, len(c))
	for i := len(c) - 1; i >= 0; i-- {
		if ends[i] == NotRun || ends[i] == InputsGone {
			out[i] = true
		}
		if !out[i] {
			continue
		}
		for _, before := range c[i].After {
			if ends[i] == InputsGone || ends[before] != Complete {
				out[before] = true
			}
		}
	}
	return out
}
