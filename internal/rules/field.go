package rules

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"
)

const maxID = 64

// isID and isHash are written out, since a large file has a hundred thousand
// of them and a regular expression took a sixth of the time to read it.
func isID(s string) bool {
	if len(s) == 0 || len(s) > maxID {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case c == '.', c == '_', c == '/', c == '-':
		default:
			return false
		}
	}
	return true
}

func isHash(s string) bool {
	if len(s) != 2*sha256.Size {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

const idMend = "use 1 to 64 letters, digits, dots, dashes, underscores or slashes"

// fields reads the `name value` fields of one row and notes what is wrong with
// them. Once all that a section knows were read, done refuses the rest.
type fields struct {
	row    row
	list   []field
	faults *Faults
}

// field is one `name value` of a row. Taken is set once it was read.
type field struct {
	name, value string
	taken       bool
}

// maxUsual is how many fields a row usually has at the most.
const maxUsual = 10

func splitFields(r row, faults *Faults) *fields {
	f := &fields{row: r, list: make([]field, 0, maxUsual), faults: faults}
	if strings.TrimSpace(r.value) == "" {
		return f
	}
	for part := range strings.SplitSeq(r.value, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), " ")
		if name == "" {
			f.fault("an empty field", "take out the extra comma")
			continue
		}
		if f.has(name) {
			f.fault(fmt.Sprintf("field %s stands twice", name), "keep one of them")
			continue
		}
		f.list = append(f.list, field{name: name, value: strings.TrimSpace(value)})
	}
	return f
}

func (f *fields) fault(reason, mend string) {
	*f.faults = append(*f.faults, Fault{
		Line: f.row.Line, Section: f.row.section, Key: f.row.key, Reason: reason, Fix: mend,
	})
}

func (f *fields) find(name string) *field {
	for i := range f.list {
		if f.list[i].name == name {
			return &f.list[i]
		}
	}
	return nil
}

// has tells whether the row gives the field.
func (f *fields) has(name string) bool { return f.find(name) != nil }

// take returns a field's value; done does not refuse it any more.
func (f *fields) take(name string) (string, bool) {
	found := f.find(name)
	if found == nil {
		return "", false
	}
	found.taken = true
	if found.value == "" {
		f.fault(fmt.Sprintf("field %s has no value", name), fmt.Sprintf("write `%s value`", name))
		return "", false
	}
	return found.value, true
}

// must is take for a field that has to be there.
func (f *fields) must(name string) (string, bool) {
	value, ok := f.take(name)
	if !f.has(name) {
		f.fault(fmt.Sprintf("field %s is missing", name), fmt.Sprintf("add `%s value`", name))
	}
	return value, ok
}

// done refuses the fields that nobody took.
func (f *fields) done(known ...string) {
	for _, left := range f.list {
		if !left.taken {
			f.fault(fmt.Sprintf("unknown field %s", left.name), "use: "+strings.Join(known, ", "))
		}
	}
}

// id reads an id that has to be there.
func (f *fields) id(name string) string {
	value, ok := f.must(name)
	if !ok {
		return ""
	}
	return f.checkID(name, value)
}

func (f *fields) checkID(name, value string) string {
	if !isID(value) {
		f.fault(fmt.Sprintf("%s %q is no id", name, value), idMend)
		return ""
	}
	return value
}

// ids reads a list of ids, in the order of the file.
func (f *fields) ids(name string) []string {
	value, ok := f.take(name)
	if !ok {
		return nil
	}
	var list []string
	seen := map[string]bool{}
	for _, id := range strings.Fields(value) {
		if f.checkID(name, id) == "" {
			continue
		}
		if seen[id] {
			f.fault(fmt.Sprintf("%s names %s twice", name, id), "keep one of them")
			continue
		}
		seen[id] = true
		list = append(list, id)
	}
	return list
}

// count reads a whole number within 1 and most; when 0 it has to be there.
func (f *fields) count(name string, otherwise, most int) int {
	if !f.has(name) && otherwise > 0 {
		return otherwise
	}
	value, ok := f.must(name)
	if !ok {
		return 0
	}
	return f.checkCount(name, value, most)
}

func (f *fields) checkCount(name, value string, most int) int {
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 || n > most {
		f.fault(fmt.Sprintf("%s %q is out of range", name, value), fmt.Sprintf("write a whole number from 1 to %d", most))
		return 0
	}
	return n
}

// price reads a number that is not negative; 1 if it is not there.
func (f *fields) price(name string, most float64) float64 {
	value, ok := f.take(name)
	if !ok {
		return 1
	}
	x, err := strconv.ParseFloat(value, 64)
	// A NaN fails both comparisons, so the test asks for what is right.
	if err != nil || !(x >= 0 && x <= most) {
		f.fault(fmt.Sprintf("%s %q is out of range", name, value), fmt.Sprintf("write a number from 0 to %g", most))
		return 1
	}
	return x
}

// yes reads yes or no; otherwise if it is not there.
func (f *fields) yes(name string, otherwise bool) bool {
	value, ok := f.take(name)
	if !ok {
		return otherwise
	}
	if value != "yes" && value != "no" {
		f.fault(fmt.Sprintf("%s %q is neither yes nor no", name, value), fmt.Sprintf("write `%s yes` or `%s no`", name, name))
		return otherwise
	}
	return value == "yes"
}

// duration reads a time within least and most.
func (f *fields) duration(name string, least, most time.Duration) time.Duration {
	value, ok := f.must(name)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < least || d > most {
		f.fault(fmt.Sprintf("%s %q is out of range", name, value),
			fmt.Sprintf("write a time from %s to %s, such as 20ms or 6s", least, most))
		return 0
	}
	return d
}

// base reads the base URL of a server. Its host is an IP number: daemons ask no
// name service, so a name would fail only when the first call is sent.
func (f *fields) base(name string) string {
	const mend = "write http://IP:PORT, with a path if the server needs one"
	value, ok := f.must(name)
	if !ok {
		return ""
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		f.fault(fmt.Sprintf("%s %q is no HTTP address", name, value), mend)
		return ""
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" || u.Opaque != "" {
		f.fault(fmt.Sprintf("%s %q holds more than a server and a path", name, value), mend)
		return ""
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		f.fault(fmt.Sprintf("%s %q has no IP number and port", name, value), mend)
		return ""
	}
	return strings.TrimSuffix(value, "/")
}

// sortedIDs converts a list of ids into a sorted list of their type.
func sortedIDs[T ~string](from []string) []T {
	list := typedIDs[T](from)
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func typedIDs[T ~string](from []string) []T {
	if len(from) == 0 {
		return nil
	}
	list := make([]T, len(from))
	for i, id := range from {
		list[i] = T(id)
	}
	return list
}
