package rules

import shed "jasmineshed"

// Compiler compiles one revision after the other and remembers how the lines of
// the last one read, so that a change of one line in a large file costs little.
// Its verdicts are those of Parse: what a line says by itself depends on
// nothing else. It is not safe for use by many goroutines.
type Compiler struct{ cache lineCache }

// NewCompiler makes a Compiler that remembers nothing yet.
func NewCompiler() *Compiler { return &Compiler{} }

// Compile is the function Compile, faster for a text much like the last one.
func (c *Compiler) Compile(text []byte, rev shed.Revision) (*shed.Rules, error) {
	r, faults := parse(text, rev, &c.cache)
	if len(faults) > 0 {
		return nil, faults
	}
	return r, nil
}

// lineCache holds how lines read. A nil one remembers nothing.
type lineCache struct {
	// last are the lines of the last text, now those of the one being read.
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

// rotate forgets what the text just read did not have, so that the memory never
// holds more than one text.
func (m *lineCache) rotate() {
	if m == nil {
		return
	}
	m.last, m.current = m.current, nil
}
