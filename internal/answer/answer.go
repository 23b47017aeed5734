// Package answer puts the frames of one call together into one whole result.
package answer

import (
	"errors"
	"fmt"
	"strings"

	shed "jasmineshed"
)

// Errors of Add. Any of them means that the call's reply can't be trusted; the
// driver ends the call as EndBadReply.
var (
	// ErrTooLarge: the text passed Config.MaxBytes.
	ErrTooLarge = errors.New("answer too large")
	// ErrGap: frames ran further ahead of a missing one than Config.Ahead.
	ErrGap = errors.New("frame missing")
	// ErrContradiction: frames disagree on the end or the text of the result.
	ErrContradiction = errors.New("frames contradict each other")
	// ErrOffset: a stream can't be resumed from a place other than its end.
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
	// MaxBytes bounds the text.
	MaxBytes int
	// MaxHeld bounds how many frames are held back while an earlier one is missing.
	MaxHeld int
}

// Assembly is the result of one call as far as it has come. It is not safe for
// concurrent use.
type Assembly struct {
	cfg Config
	// next is the sequence number that the text waits for; all below are in it.
	next uint32
	// held are frames past next, in no order, never more than cfg.Ahead.
	held []shed.Frame
	text strings.Builder
	// taken is how much of text Take has given out.
	taken  int
	tokens shed.Tokens
	result *shed.Payload
	// whole is set once, by the last frame, with no frame missing.
	whole     bool
	strangers int
	repeats   int
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

// Resume returns an assembly for a call that goes on with the stream of this
// one from its token number from. The text so far is kept, the sequence starts
// anew. It returns ErrOffset if this one holds another number of tokens.
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

// Add takes one frame. It returns false for a frame that was dropped: of
// another call, doubled, or after the last. An error is final.
func (a *Assembly) Add(f shed.Frame) (bool, error) {
	if f.Call != a.cfg.Call {
		a.strangers++
		return false, nil
	}
	if a.whole || f.Sequence < a.next {
		a.repeats++
		return false, nil
	}
	if f.Sequence > a.next {
		return a.hold(f)
	}
	if err := a.append(&f); err != nil {
		return false, err
	}
	return true, a.release()
}

// hold keeps a frame that came before its turn.
func (a *Assembly) hold(f shed.Frame) (bool, error) {
	for i := range a.held {
		if a.held[i].Sequence == f.Sequence {
			a.repeats++
			return false, nil
		}
	}
	if len(a.held) >= a.cfg.MaxHeld {
		return false, fmt.Errorf("%w: %d never came, %d did", ErrGap, a.next, f.Sequence)
	}
	a.held = append(a.held, f)
	return true, nil
}

// release appends held frames for as long as the next one is among them.
func (a *Assembly) release() error {
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
	if a.whole {
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
	return a.close(f.Result)
}

// close takes the last frame's result. The server's own copy of the text must
// agree with the frames, or part of the answer was lost on the way.
func (a *Assembly) close(p *shed.Payload) error {
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
	a.whole = true
	return nil
}

// Complete tells whether every frame up to the last is here.
func (a *Assembly) Complete() bool { return a.whole }

// Result is the payload after the stage, or nil unless Whole.
func (a *Assembly) Result() *shed.Payload { return a.result }

// Text is the text so far, in sequence.
func (a *Assembly) Text() string { return a.text.String() }

// Take returns the text that has come into sequence since the last Take.
func (a *Assembly) Take() string {
	fresh := a.text.String()[a.taken:]
	a.taken = a.text.Len()
	return fresh
}

// Tokens is how many tokens are here in sequence, those resumed from included.
func (a *Assembly) Tokens() shed.Tokens { return a.tokens }

// Dropped counts the frames of other calls and those doubled or after the end.
func (a *Assembly) Dropped() (strangers, repeats int) { return a.strangers, a.repeats }
