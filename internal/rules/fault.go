package rules

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one reason why a rules file is rejected.
type Fault struct {
	// Line in the rules file, from 1; 0 if the fault concerns the whole file.
	Line    int
	Section string
	Key     string
	Reason  string
	// Fix says what to write instead.
	Fix string
}

// String returns the fault on one line.
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

// Faults are all faults of a rules file, sorted by line. If it is empty, the file is valid.
type Faults []Fault

// Error lists all faults, one per line.
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
