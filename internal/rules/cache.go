package rules

import shed "jasmineshed"

// Compiler compiles successive revisions and caches the parsed lines of the last one, so
// that a change of one line in a large file costs little. Its results are those of Parse:
// how a line is parsed depends on nothing else. It is not safe for concurrent use.
type Compiler struct{ cache lineCache }

// NewCompiler returns a Compiler with an empty cache.
func NewCompiler() *Compiler { return &Compiler{} }

// Compile works like the function Compile, but faster for a text similar to the last one.
func (c *Compiler) Compile(text []byte, rev shed.Revision) (*shed.Rules, error) {
	r, faults := parse(text, rev, &c.cache)
	if len(faults) > 0 {
		return nil, faults
	}
	return r, nil
}

// lineCache holds parsed lines. A nil cache stores nothing.
type lineCache struct {
	// last holds the lines of the last text, current those of the one being read.
	last, current map[string]parsedLine
}

func (m *lineCache) get(get []byte) (parsedLine, bool) {
	if m == nil {
		return parsedLine{}, false
	}
	p, seen := m.last[string(get)]
	if seen {
		m.put(get, p)
	}
	return p, seen
}

func (m *lineCache) put(line []byte, p parsedLine) {
	if m == nil {
		return
	}
	if m.current == nil {
		m.current = make(map[string]parsedLine, len(m.last))
	}
	m.current[string(line)] = p
}

// rotate drops the lines that the text just read did not contain, so that the cache never
// holds more than one text.
func (m *lineCache) rotate() {
	if m == nil {
		return
	}
	m.last, m.current = m.current, nil
}
