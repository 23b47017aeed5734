package rules

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// size is the size of a generated rules file.
type size struct{ workspaces, servers int }

// designSize is the size that the users plan for in the next two years.
var designSize = size{workspaces: 27_000, servers: 2_500}

// makeText generates a rules file of the given size, with 13 zones and 9 pipelines.
func makeText(s size) []byte {
	var b bytes.Buffer
	b.WriteString("[zones]\n")
	for i := range 13 {
		fmt.Fprintf(&b, "zone-%d = region region-%d ; platform group\n", i, i%4)
	}
	b.WriteString("[suppliers]\nnoord = leaving no ; board\nzuid = leaving no ; board\n[models]\n")
	for i := range 9 {
		fmt.Fprintf(&b, "model-%d = version %d ; model desk\n", i, i+1)
	}
	b.WriteString("[pools]\n")
	for i := range 9 {
		fmt.Fprintf(&b, "pool-%d = kind generate, model model-%d ; model desk\n", i, i)
	}
	b.WriteString("[servers]\n")
	for i := range s.servers {
		fmt.Fprintf(&b, "gen-%d = pool pool-%d, zone zone-%d, supplier noord, url http://10.1.%d.%d:9000, "+
			"capacity 8, cold_bears 2, checks_caller yes, fenced yes ; operations desk, order %d\n",
			i, i%9, i%13, i/250, i%250, i)
	}
	b.WriteString("[pipelines]\n")
	for i := range 9 {
		fmt.Fprintf(&b, "pipe-%d = deadline 6s, stages one two three ; desk %d\n", i, i)
	}
	b.WriteString("[stages]\n")
	for i := range 9 {
		for _, stage := range []string{"one", "two", "three"} {
			fmt.Fprintf(&b, "pipe-%d/%s = kind generate, pool pool-%d, minimum 50ms ; desk %d\n", i, stage, i, i)
		}
	}
	b.WriteString("[workspaces]\n")
	for i := range s.workspaces {
		hash := sha256.Sum256(fmt.Appendf(nil, "demo-ws-%d", i))
		fmt.Fprintf(&b, "ws-%d = share %d, token_sha256 %x, pipelines pipe-%d ; customer %d\n", i, 1+i%4, hash, i%9, i)
	}
	return b.Bytes()
}

func TestPackJoins(t *testing.T) {
	text := makeText(size{workspaces: 2_000, servers: 200})
	index, parts := Pack(text)
	require.Greater(t, len(parts), 1)
	list, err := ParseIndex(3, index)
	require.NoError(t, err)
	back, err := Join(list, parts)
	require.NoError(t, err)
	require.Equal(t, text, back)
}

// sizes for measuring how the cost grows, up to the design size.
var sizes = []size{{270, 25}, {2_700, 250}, {9_000, 833}, designSize}

// BenchmarkRecompile changes one line of a text that was compiled before.
func BenchmarkRecompile(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d/servers=%d", s.workspaces, s.servers), func(b *testing.B) {
			texts := [][]byte{makeText(s), nil}
			texts[1] = bytes.Replace(texts[0], []byte("region region-1 "), []byte("region region-1, out yes "), 1)
			c := NewCompiler()
			_, err := c.Compile(texts[0], 1)
			require.NoError(b, err)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, err := c.Compile(texts[1-i%2], 1)
				require.NoError(b, err)
			}
		})
	}
}

func BenchmarkParse(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d/servers=%d", s.workspaces, s.servers), func(b *testing.B) {
			text := makeText(s)
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				_, faults := Parse(text, 1)
				require.Empty(b, faults)
			}
		})
	}
}

// A change of one line must cost readers little: the index and at most two parts.
func TestPackCostOfAChange(t *testing.T) {
	for _, s := range sizes {
		text := makeText(s)
		index, parts := Pack(text)
		most := 0
		for _, part := range parts {
			most = max(most, len(part))
		}
		for _, change := range []string{"zone-3 = region region-3 ;", "ws-100 = share 1,"} {
			changed := bytes.Replace(text, []byte(change), append([]byte("; "), change...), 1)
			require.NotEqual(t, text, changed)
			_, now := Pack(changed)
			fresh, bytesRead := 0, 0
			for hash, part := range now {
				if _, had := parts[hash]; !had {
					fresh++
					bytesRead += len(part)
				}
			}
			require.LessOrEqual(t, fresh, 2)
			t.Logf("%+v: %d bytes of text, %d parts of at most %d bytes, index %d bytes; a changed line: %d parts, %d bytes",
				s, len(text), len(parts), most, len(index), fresh, bytesRead)
		}
		require.Less(t, most, 1_000_000)
		require.Less(t, len(index), 1_000_000)
	}
}

// BenchmarkHeld measures the memory used by one configuration: its parts, the compiled
// rules and the compiler's cache.
func BenchmarkHeld(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d/servers=%d", s.workspaces, s.servers), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				text := makeText(s)
				_, parts := Pack(bytes.Clone(text))
				c := NewCompiler()
				r, err := c.Compile(text, 1)
				require.NoError(b, err)
				text = nil
				b.ReportMetric(float64(heapBytes()-before), "B/held")
				runtime.KeepAlive(parts)
				runtime.KeepAlive(r)
				runtime.KeepAlive(c)
				runtime.KeepAlive(text)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
