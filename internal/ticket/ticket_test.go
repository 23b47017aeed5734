package ticket

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

var (
	zero = time.Unix(1_700_000_000, 0)
	home = shed.Peer{VM: "[2001:db8::1]:7000", Incarnation: 1 << 62}
	heir = shed.Peer{VM: "10.0.0.2:7000", Incarnation: 7}
)

func TestIDNamesItsHome(t *testing.T) {
	for _, p := range []shed.Peer{home, heir, {VM: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535", Incarnation: 1<<64 - 1}} {
		id := NewID(p, [16]byte{1, 2, 3})
		require.Regexp(t, regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`), string(id))
		got, err := Home(id)
		require.NoError(t, err)
		require.Equal(t, p, got)
	}
}

func TestHomeRefuses(t *testing.T) {
	good := string(NewID(heir, [16]byte{9}))
	cases := map[string]string{
		"empty":         "",
		"no version":    good[3:],
		"other version": "t2." + good[3:],
		"cut":           good[:len(good)-1],
		"longer":        good + "A",
		"changed":       good[:20] + "x" + good[21:],
		"line break":    good[:20] + "\n" + good[20:],
		"padded":        good + "=",
		"too long":      "t1." + strings.Repeat("A", 200),
		"not a address": string(NewID(shed.Peer{VM: "vm-a"}, [16]byte{})),
		"odd address":   string(NewID(shed.Peer{VM: "10.0.0.2:07000"}, [16]byte{})),
	}
	for name, id := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Home(shed.RequestID(id))
			require.ErrorIs(t, err, ErrBadID)
		})
	}
}

func FuzzHome(f *testing.F) {
	f.Add(string(NewID(heir, [16]byte{9})))
	f.Add("t1.")
	f.Fuzz(func(t *testing.T, s string) {
		p, err := Home(shed.RequestID(s))
		if err != nil {
			return
		}
		raw, err := idCoding.DecodeString(s[len(idVersion):])
		require.NoError(t, err)
		random := [randomSize]byte(raw[incarnation:])
		require.Equal(t, s, string(NewID(p, random)), "two ids for one ticket")
	})
}

// The heir ran a moved publication and has forgotten it since. Then a copy of
// the move comes in that had been stuck on the way. If it were adopted, a
// caller's repeat would publish again.
func TestLateCopyOfMoveRevivesNothing(t *testing.T) {
	old, next := New(Config{Self: home}), New(Config{Self: heir})
	id := NewID(home, [16]byte{1})
	_, err := old.Issue(zero, id, "w", "publish")
	require.NoError(t, err)
	move := old.MoveAll(zero, heir)
	require.Equal(t, VerdictMoved, old.Start(zero, id, "w", "publish").Kind)
	require.Equal(t, 1, next.Adopt(zero, move))
	require.Equal(t, VerdictRun, next.Start(zero, id, "w", "publish").Kind)
	require.True(t, next.RecordFinish(zero, id, shed.Finish{Outcome: shed.OutcomeComplete}))
	later := zero.Add(2 * DefaultLifetime)
	require.Zero(t, next.Adopt(later, move))
	require.Equal(t, VerdictUnknown, next.Start(later, id, "w", "publish").Kind)
}

// The table is full of answers and running requests. A new ticket is refused,
// nothing is put out for it: an answer put out early would turn a caller's
// repeat into "unknown", and a running one's could start again.
func TestFullTableKeepsWhatItHolds(t *testing.T) {
	tab := New(Config{Self: home, MaxEntries: 2})
	for i := range byte(2) {
		id := NewID(home, [16]byte{i})
		_, err := tab.Issue(zero, id, "w", "publish")
		require.NoError(t, err)
		require.Equal(t, VerdictRun, tab.Start(zero, id, "w", "publish").Kind)
	}
	_, err := tab.Issue(zero, NewID(home, [16]byte{7}), "w", "publish")
	require.ErrorIs(t, err, ErrFull)
	year := zero.Add(365 * 24 * time.Hour)
	require.Equal(t, VerdictJoin, tab.Start(year, NewID(home, [16]byte{0}), "w", "publish").Kind)
	require.Equal(t, 2, tab.Running())
}

func BenchmarkIssueStartFinish(b *testing.B) {
	tab := New(Config{Self: home, MaxEntries: 100_000, Retention: time.Second, Lifetime: time.Second})
	now := zero
	b.ReportAllocs()
	var random [16]byte
	for i := range b.N {
		now = now.Add(time.Millisecond)
		random[0], random[1], random[2], random[3] = byte(i), byte(i>>8), byte(i>>16), byte(i>>24)
		id := NewID(home, random)
		_, _ = tab.Issue(now, id, "w", "publish")
		tab.Start(now, id, "w", "publish")
		tab.RecordFinish(now, id, shed.Finish{})
	}
}

// BenchmarkIssueKept keeps every ticket: its bytes are what one entry takes,
// with the map's growth, hence an upper bound.
func BenchmarkIssueKept(b *testing.B) {
	tab := New(Config{Self: home, MaxEntries: 1 << 30})
	b.ReportAllocs()
	var random [16]byte
	for i := range b.N {
		random[0], random[1], random[2], random[3] = byte(i), byte(i>>8), byte(i>>16), byte(i>>24)
		_, _ = tab.Issue(zero, NewID(home, random), "w", "publish")
	}
}

func BenchmarkHome(b *testing.B) {
	id := NewID(home, [16]byte{1})
	b.ReportAllocs()
	for range b.N {
		_, _ = Home(id)
	}
}
