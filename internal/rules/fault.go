package rules

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one reason why a rules file is refused.
type Fault struct {
	// Line in the rules file, from 1; 0 if the fault is about the whole file.
	Line    int
	Section string
	Key     string
	Reason  string
	// Fix says what to write instead.
	Fix string
}

// String gives the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	fmt.Fprintf(&b, "%s; mend: %s", f.Reason, f.Fix)
	return b.String()
}

// Faults is every fault of a rules file, sorted by line. An empty one means
// that the file is accepted.
type Faults []Fault

// Error lists all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

func (f Faults) sorted() Faults {
	sort.SliceStable(f, func(i, j int) bool { return f[i].Line < f[j].Line })
	return f
}
