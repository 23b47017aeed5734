// Package answer assembles the frames of a call into one result.
package answer

import (
	"errors"
	"fmt"
	"strings"

	shed "jasmineshed"
)

// Errors of Add and Resume. An error of Add means that the call's reply can't be trusted; the
// driver ends the call as EndBadReply.
var (
	// ErrTooLarge is returned if the text exceeds Config.MaxBytes.
	ErrTooLarge = errors.New("answer too large")
	// ErrGap is returned if more than Config.MaxHeld frames arrive while an earlier one is missing.
	ErrGap = errors.New("frame missing")
	// ErrContradiction is returned if frames disagree on the end or the text of the result.
	ErrContradiction = errors.New("frames contradict each other")
	// ErrOffset is returned if a stream is resumed from a position other than its end.
	ErrOffset = errors.New("resumed from another offset")
)

// Defaults for a zero Config.
const (
	DefaultMaxBytes = 1 << 20
	DefaultMaxHeld  = 16
)

// Config sets up an Assembly. Zero values take the defaults.
type Config struct {
	Call shed.Call
	// MaxBytes limits the length of the text.
	MaxBytes int
	// MaxHeld limits the frames that are held back while an earlier one is missing.
	MaxHeld int
}

// Assembly is the partial or complete result of one call. It is not safe for concurrent use.
type Assembly struct {
	cfg Config
	// next is the sequence number of the next frame to append; all earlier ones are in text.
	next uint32
	// held are frames after next, unordered and never more than cfg.MaxHeld.
	held []shed.Frame
	text strings.Builder
	// taken is the length of the text that Take has returned.
	taken  int
	tokens shed.Tokens
	result *shed.Payload
	// complete is set once the last frame is appended, with no frame missing, and never reset.
	complete   bool
	foreign    int
	duplicates int
}

// New returns an empty assembly for one call.
func New(cfg Config) *Assembly {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.MaxHeld == 0 {
		cfg.MaxHeld = DefaultMaxHeld
	}
	return &Assembly{cfg: cfg}
}

// Resume returns an assembly for a call that continues this stream at token from. It keeps the text
// so far; sequence numbers restart at 0. It returns ErrOffset if from differs from the number of
// tokens held.
func (a *Assembly) Resume(call shed.Call, from shed.Tokens) (*Assembly, error) {
	if from != a.tokens {
		return nil, fmt.Errorf("%w: have %d tokens, asked for %d", ErrOffset, a.tokens, from)
	}
	cfg := a.cfg
	cfg.Call = call
	b := New(cfg)
	b.text.WriteString(a.text.String())
	b.taken = a.taken
	b.tokens = a.tokens
	return b, nil
}

// Add adds a frame. It returns false for a frame that it dropped: one of another call, a duplicate,
// or one after the last frame. An error is final.
func (a *Assembly) Add(f shed.Frame) (bool, error) {
	if f.Call != a.cfg.Call {
		a.foreign++
		return false, nil
	}
	if a.complete || f.Sequence < a.next {
		a.duplicates++
		return false, nil
	}
	if f.Sequence > a.next {
		return a.holdBack(f)
	}
	if err := a.append(&f); err != nil {
		return false, err
	}
	return true, a.appendHeld()
}

// holdBack keeps a frame that arrived before an earlier one.
func (a *Assembly) holdBack(f shed.Frame) (bool, error) {
	for i := range a.held {
		if a.held[i].Sequence == f.Sequence {
			a.duplicates++
			return false, nil
		}
	}
	if len(a.held) >= a.cfg.MaxHeld {
		return false, fmt.Errorf("%w: frame %d not received before frame %d", ErrGap, a.next, f.Sequence)
	}
	a.held = append(a.held, f)
	return true, nil
}

// appendHeld appends held frames as long as the next one is among them.
func (a *Assembly) appendHeld() error {
	for i := 0; i < len(a.held); i++ {
		if a.held[i].Sequence != a.next {
			continue
		}
		f := a.held[i]
		a.held = append(a.held[:i], a.held[i+1:]...)
		if err := a.append(&f); err != nil {
			return err
		}
		i = -1
	}
	return nil
}

func (a *Assembly) append(f *shed.Frame) error {
	if a.complete {
		return fmt.Errorf("%w: frame %d after the last", ErrContradiction, f.Sequence)
	}
	if a.text.Len()+len(f.Text) > a.cfg.MaxBytes {
		return fmt.Errorf("%w: more than %d bytes", ErrTooLarge, a.cfg.MaxBytes)
	}
	a.text.WriteString(f.Text)
	a.tokens += f.Tokens
	a.next++
	if !f.Last {
		return nil
	}
	return a.finish(f.Result)
}

// finish stores the result of the last frame. If the result has the text as well, it must equal
// that of the frames, or else part of the answer was lost in transit.
func (a *Assembly) finish(p *shed.Payload) error {
	if p == nil {
		return fmt.Errorf("%w: last frame without a result", ErrContradiction)
	}
	result := *p
	if a.text.Len() > 0 {
		if result.Text != "" && result.Text != a.text.String() {
			return fmt.Errorf("%w: text of the result differs from its frames", ErrContradiction)
		}
		result.Text = a.text.String()
	}
	if len(result.Text) > a.cfg.MaxBytes {
		return fmt.Errorf("%w: more than %d bytes", ErrTooLarge, a.cfg.MaxBytes)
	}
	a.result = &result
	a.complete = true
	return nil
}

// Complete reports whether every frame up to the last has been added.
func (a *Assembly) Complete() bool { return a.complete }

// Result returns the payload after the stage, or nil unless Complete.
func (a *Assembly) Result() *shed.Payload { return a.result }

// Text returns the text so far, up to the first missing frame.
func (a *Assembly) Text() string { return a.text.String() }

// Take returns the text that was appended since the last Take.
func (a *Assembly) Take() string {
	added := a.text.String()[a.taken:]
	a.taken = a.text.Len()
	return added
}

// Tokens returns the number of tokens in the text, including those before a Resume.
func (a *Assembly) Tokens() shed.Tokens { return a.tokens }

// Dropped returns the numbers of dropped frames: those of other calls, and those that were
// duplicates or came after the last frame.
func (a *Assembly) Dropped() (foreign, duplicates int) { return a.foreign, a.duplicates }
