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
func readRows(text []byte) ([]row, Faults) {
	if len(text) > maxText {
		return nil, Faults{{
			Reason: fmt.Sprintf("the file has %d bytes", len(text)),
			Mend:   fmt.Sprintf("keep it within %d bytes", maxText),
		}}
	}
	lines := bytes.Split(text, []byte("\n"))
	if len(lines) > maxLines {
		return nil, Faults{{
			Reason: fmt.Sprintf("the file has %d lines", len(lines)),
			Mend:   fmt.Sprintf("keep it within %d lines", maxLines),
		}}
	}
	rd := reader{rows: make([]row, 0, len(lines))}
	for i, line := range lines {
		rd.read(i+1, bytes.TrimSuffix(line, []byte("\r")))
	}
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
	skip bool
}

func (rd *reader) fault(line int, key, reason, mend string) {
	rd.faults = append(rd.faults, Fault{
		Line: line, Section: rd.section, Key: key, Reason: reason, Mend: mend,
	})
}

func (rd *reader) read(n int, line []byte) {
	trimmed := bytes.TrimSpace(line)
	if len(trimmed) == 0 {
		return
	}
	if reason, mend := badText(trimmed); reason != "" {
		rd.fault(n, "", reason, mend)
		return
	}
	if trimmed[0] == ';' || trimmed[0] == '#' {
		return
	}
	file, err := ini.LoadSources(iniOptions, trimmed)
	if err != nil {
		rd.unknown(n, trimmed)
		return
	}
	if sections := file.Sections(); len(sections) > 1 {
		rd.header(n, sections[1].Name())
		return
	}
	keys := file.Section("").Keys()
	if len(keys) != 1 {
		rd.unknown(n, trimmed)
		return
	}
	rd.rule(n, keys[0])
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

// unknown notes a line that says nothing. Below a header gone wrong nobody knows
// which section the next lines are for.
func (rd *reader) unknown(n int, line []byte) {
	rd.fault(n, "", "neither a section nor a rule", "write `[section]` or `key = fields ; who asked`")
	rd.skip = rd.skip || line[0] == '['
}

func (rd *reader) header(n int, name string) {
	rd.section = name
	_, known := sections[name]
	rd.skip = !known
	if !known {
		rd.fault(n, "", "unknown section", "use one of: "+strings.Join(sectionNames, ", "))
	}
}

func (rd *reader) rule(n int, key *ini.Key) {
	name := key.Name()
	asked := strings.TrimSpace(strings.TrimLeft(key.Comment, ";# \t"))
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
		Origin:  shed.Origin{Line: n, Asked: asked},
		section: rd.section,
		key:     name,
		value:   key.Value(),
	})
}
