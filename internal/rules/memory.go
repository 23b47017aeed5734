package rules

import shed "jasmineshed"

// Compiler compiles one revision after the other and remembers how the lines of
// the last one read, so that a change of one line in a large file costs little.
// Its verdicts are those of Parse: what a line says by itself depends on
// nothing else. It is not safe for use by many goroutines.
type Compiler struct{ known memory }

// NewCompiler makes a Compiler that remembers nothing yet.
func NewCompiler() *Compiler { return &Compiler{} }

// Compile is the function Compile, faster for a text much like the last one.
func (c *Compiler) Compile(text []byte, rev shed.Revision) (*shed.Rules, error) {
	r, faults := parse(text, rev, &c.known)
	if len(faults) > 0 {
		return nil, faults
	}
	return r, nil
}

// memory holds how lines read. A nil one remembers nothing.
type memory struct {
	// last are the lines of the last text, now those of the one being read.
	last, now map[string]parsed
}

func (m *memory) line(line []byte) (parsed, bool) {
	if m == nil {
		return parsed{}, false
	}
	p, seen := m.last[string(line)]
	if seen {
		m.keep(line, p)
	}
	return p, seen
}

func (m *memory) keep(line []byte, p parsed) {
	if m == nil {
		return
	}
	if m.now == nil {
		m.now = make(map[string]parsed, len(m.last))
	}
	m.now[string(line)] = p
}

// turn forgets what the text just read did not have, so that the memory never
// holds more than one text.
func (m *memory) turn() {
	if m == nil {
		return
	}
	m.last, m.now = m.now, nil
}
