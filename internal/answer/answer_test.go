package answer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
)

var call = shed.Call{Request: "r", Stage: 1, Attempt: 2}

func frame(sequence uint32, text string) shed.Frame {
	return shed.Frame{Call: call, Sequence: sequence, Text: text, Tokens: 1}
}

func last(sequence uint32) shed.Frame {
	return shed.Frame{Call: call, Sequence: sequence, Last: true, Result: &shed.Payload{Input: "in"}}
}

// Frames come doubled, late, out of order and from other attempts. The caller
// gets the whole text in order, once, or none: Whole stays false as long as any
// frame is missing.
func TestAnyOrderOfFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "frames")
		var frames []shed.Frame
		var want strings.Builder
		for i := range n {
			text := fmt.Sprintf("<%d>", i)
			want.WriteString(text)
			frames = append(frames, frame(uint32(i), text))
		}
		frames = append(frames, last(uint32(n)))
		var stream []shed.Frame
		for _, f := range frames {
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				stream = append(stream, f)
			}
			stranger := f
			stranger.Call.Attempt = 1
			stream = append(stream, stranger)
		}
		missing := rapid.IntRange(-1, n).Draw(t, "missing")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rng.Shuffle(len(stream), func(i, k int) { stream[i], stream[k] = stream[k], stream[i] })
		a := New(Config{Call: call})
		var got strings.Builder
		for _, f := range stream {
			if int(f.Sequence) == missing {
				continue
			}
			_, err := a.Add(f)
			require.NoError(t, err)
			got.WriteString(a.Take())
		}
		require.Equal(t, missing < 0, a.Complete())
		if a.Complete() {
			require.Equal(t, want.String(), a.Result().Text)
			require.Equal(t, want.String(), got.String())
			require.Equal(t, "in", a.Result().Input)
		}
		require.True(t, strings.HasPrefix(want.String(), got.String()))
	})
}

func TestRefusesReplies(t *testing.T) {
	lie := last(1)
	lie.Result.Text = "other"
	naked := last(1)
	naked.Result = nil
	cases := map[string]struct {
		frames []shed.Frame
		want   error
	}{
		"too large":             {[]shed.Frame{frame(0, "0123456789")}, ErrTooLarge},
		"gap too wide":          {[]shed.Frame{frame(1, "a"), frame(2, "b"), frame(3, "c")}, ErrGap},
		"text differs":          {[]shed.Frame{frame(0, "one"), lie}, ErrContradiction},
		"last without result":   {[]shed.Frame{frame(0, "one"), naked}, ErrContradiction},
		"held frame after last": {[]shed.Frame{frame(1, "x"), last(0)}, ErrContradiction},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := New(Config{Call: call, MaxBytes: 8, MaxHeld: 2})
			var err error
			for _, f := range c.frames {
				_, err = a.Add(f)
			}
			require.ErrorIs(t, err, c.want)
		})
	}
}

// A stream broke midway and goes on as another call. What the first call still
// sends must not get into the text a second time.
func TestResumeGoesOnWhereItWas(t *testing.T) {
	a := New(Config{Call: call})
	for i := range uint32(3) {
		_, err := a.Add(frame(i, "a"))
		require.NoError(t, err)
	}
	require.Equal(t, "aaa", a.Take())
	next := call
	next.Attempt++
	_, err := a.Resume(next, 4)
	require.ErrorIs(t, err, ErrOffset)
	b, err := a.Resume(next, 3)
	require.NoError(t, err)
	taken, err := b.Add(frame(3, "late"))
	require.NoError(t, err)
	require.False(t, taken)
	_, err = b.Add(shed.Frame{Call: next, Text: "b", Tokens: 1})
	require.NoError(t, err)
	require.Equal(t, "b", b.Take())
	require.Equal(t, "aaab", b.Text())
	require.Equal(t, shed.Tokens(4), b.Tokens())
	strangers, _ := b.Dropped()
	require.Equal(t, 1, strangers)
}

func BenchmarkToken(b *testing.B) {
	b.ReportAllocs()
	var a *Assembly
	for i := range b.N {
		if i%500 == 0 {
			a = New(Config{Call: call})
		}
		_, _ = a.Add(frame(uint32(i%500), "token "))
		_ = a.Take()
	}
}
