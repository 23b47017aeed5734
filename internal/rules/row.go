package rules

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	shed "jasmineshed"
)

// Limits on the text. A file within them takes well below a daemon's memory.
const (
	maxText    = 32 << 20
	maxLines   = 250_000
	maxLine    = 8 << 10
	maxComment = 200
)

// row is one rule as it stands in the file.
type row struct {
	shed.Origin
	section string
	key     string
	value   string
}

// readRows reads the text into rows, in the order of the file.
//
// The library reads each line by itself. It keeps no line numbers, stops at the
// first line that it can't read, lets a later duplicate overwrite an earlier
// one and lets a quoted value run on over many lines; line by line, every fault
// is found and has its number, and no value can swallow its neighbours.
func readRows(text []byte, known *memory) ([]row, Faults) {
	if len(text) > maxText {
		return nil, Faults{{
			Reason: fmt.Sprintf("the file has %d bytes", len(text)),
			Fix:    fmt.Sprintf("keep it within %d bytes", maxText),
		}}
	}
	lines := bytes.Split(text, []byte("\n"))
	if len(lines) > maxLines {
		return nil, Faults{{
			Reason: fmt.Sprintf("the file has %d lines", len(lines)),
			Fix:    fmt.Sprintf("keep it within %d lines", maxLines),
		}}
	}
	rd := reader{rows: make([]row, 0, len(lines)), known: known}
	for i, line := range lines {
		rd.read(i+1, bytes.TrimSpace(line))
	}
	known.turn()
	return rd.rows, rd.faults
}

// reader goes through the lines of a file.
type reader struct {
	rows   []row
	faults Faults
	// section that the next line belongs to.
	section string
	// skip is set below a section header with a fault, so that one bad header
	// does not bring a fault for each of its lines.
	skip  bool
	known *memory
}

func (rd *reader) fault(line int, key, reason, mend string) {
	rd.faults = append(rd.faults, Fault{
		Line: line, Section: rd.section, Key: key, Reason: reason, Fix: mend,
	})
}

func (rd *reader) read(n int, line []byte) {
	if len(line) == 0 {
		return
	}
	p, seen := rd.known.line(line)
	if !seen {
		p = parseLine(line)
		rd.known.keep(line, p)
	}
	switch {
	case p.reason != "":
		rd.fault(n, "", p.reason, p.mend)
		// Below a header gone wrong nobody knows which section is meant.
		rd.skip = rd.skip || line[0] == '['
	case p.header:
		rd.header(n, p.key)
	case p.key != "":
		rd.rule(n, p)
	}
}

// parsed is what one line says by itself: a fault, a header, a rule or, with no
// key, nothing.
type parsed struct {
	reason, mend string
	header       bool
	key          string
	value        string
	asked        string
}

func parseLine(line []byte) parsed {
	if reason, mend := badText(line); reason != "" {
		return parsed{reason: reason, mend: mend}
	}
	if line[0] == ';' || line[0] == '#' {
		return parsed{}
	}
	senseless := parsed{reason: "neither a section nor a rule", mend: "write `[section]` or `key = fields ; who asked`"}
	file, err := ini.LoadSources(iniOptions, line)
	if err != nil {
		return senseless
	}
	if sections := file.Sections(); len(sections) > 1 {
		return parsed{header: true, key: sections[1].Name()}
	}
	keys := file.Section("").Keys()
	if len(keys) != 1 {
		return senseless
	}
	return parsed{
		key:   keys[0].Name(),
		value: keys[0].Value(),
		asked: strings.TrimSpace(strings.TrimLeft(keys[0].Comment, ";# \t")),
	}
}

// iniOptions keep the library from joining lines and from giving meaning to
// characters that URLs need.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:  true,
	KeyValueDelimiters:  "=",
	AllowNestedValues:   false,
	UnparseableSections: nil,
}

// badText says why a line can't be given to the library, or nothing.
func badText(line []byte) (reason, mend string) {
	if len(line) > maxLine {
		return fmt.Sprintf("the line has %d bytes", len(line)), fmt.Sprintf("keep lines within %d bytes", maxLine)
	}
	if !utf8.Valid(line) {
		return "the line is not UTF-8", "save the file as UTF-8"
	}
	for _, c := range string(line) {
		if c == '\uFEFF' {
			return "the line holds a byte order mark", "save the file without a byte order mark"
		}
		if unicode.IsControl(c) && c != '\t' {
			return fmt.Sprintf("the line holds the control character %U", c), "take it out"
		}
	}
	rule := line
	if i := bytes.IndexAny(line, ";#"); i >= 0 {
		rule = line[:i]
	}
	if bytes.ContainsAny(rule, "\"'`") {
		return "the line holds quotes before its comment", "leave the quotes out; no value needs them"
	}
	return "", ""
}

func (rd *reader) header(n int, name string) {
	rd.section = name
	_, known := sections[name]
	rd.skip = !known
	if !known {
		rd.fault(n, "", "unknown section", "use one of: "+strings.Join(sectionNames, ", "))
	}
}

func (rd *reader) rule(n int, p parsed) {
	name, asked := p.key, p.asked
	if rd.skip {
		return
	}
	if rd.section == "" {
		rd.fault(n, name, "the rule stands before the first section", "put it below a header such as [zones]")
		return
	}
	if asked == "" {
		rd.fault(n, name, "nobody is named who asked for this rule", "end the line in `; who asked for it`")
	}
	if len(asked) > maxComment {
		rd.fault(n, name, fmt.Sprintf("the comment has %d bytes", len(asked)), fmt.Sprintf("keep it within %d bytes", maxComment))
	}
	// A rule without its comment is refused but still read, so that the rules
	// that refer to it bring no faults of their own.
	rd.rows = append(rd.rows, row{
		Origin:  shed.Origin{Line: n, RequestedBy: asked},
		section: rd.section,
		key:     name,
		value:   p.value,
	})
}
