package reach_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jasmineshed/internal/reach"
)

const tick = 100 * time.Millisecond

var start = time.Unix(1_700_000_000, 0)

func addrs(n int) []reach.Addr {
	out := make([]reach.Addr, n)
	for i := range out {
		out[i] = reach.Addr(fmt.Sprintf("10.0.%03d.%03d:80", i/100, i%100))
	}
	return out
}

// Guards against a path that counts as lost though no peer got further, and one that doesn't though a
// peer did.
func TestVerdicts(t *testing.T) {
	servers := addrs(9)
	for _, c := range []struct {
		name            string
		direct, carried reach.Level
		lost            bool
		path, oncePath  reach.Path
	}{
		{"server crashed", reach.Closed, reach.Closed, false, reach.DirectOnly, reach.DirectOnly},
		{"server is silent", reach.Connected, reach.Connected, false, reach.DirectOnly, reach.DirectOnly},
		{"server answers", reach.Answered, reach.Closed, false, reach.Direct, reach.Direct},
		{"connections hang", reach.Closed, reach.Connected, true, reach.Carried, reach.Carried},
		{"data is dropped", reach.Connected, reach.Answered, true, reach.Carried, reach.Carried},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := reach.New()
			table.Failed(start, servers[0])
			require.Equal(t, reach.Carried, table.Path(start, servers[0], true), "in doubt")
			require.Equal(t, reach.Direct, table.Path(start, servers[0], false))
			table.Compared(start, servers[0], c.direct, c.carried, len(servers))
			// Another server answers, so not all paths can be lost.
			table.AnsweredDirectly(start.Add(tick), servers[1])
			now := start.Add(2 * tick)
			require.Equal(t, c.lost, table.IsLost(servers[0]))
			require.Equal(t, c.path, table.Path(now, servers[0], false))
			require.Equal(t, c.oncePath, table.Path(now, servers[0], true))
			require.Equal(t, reach.Direct, table.Path(now, servers[1], true))
			require.False(t, table.Isolated())
		})
	}
}

// world plays probes against servers of which this VM reaches some.
type world struct {
	table     *reach.Table
	servers   []reach.Addr
	reachable func(a reach.Addr, now time.Time) bool
	probes    int
}

// step runs the probes that are due.
func (w *world) step(now time.Time) {
	for _, p := range w.table.DueProbes(now, w.servers) {
		w.probes++
		level := reach.Closed
		if w.reachable(p.Addr, now) {
			level = reach.Answered
		}
		if p.Compare {
			w.table.Compared(now, p.Addr, level, reach.Answered, len(w.servers))
		} else {
			w.table.ProbedDirectly(now, p.Addr, level)
		}
		w.table.EndProbe(p.Addr)
	}
}

// Guards against a VM that doesn't notice within a second that it lost all paths, or within two that
// they are back, whatever the number of servers, and against a flood of probes.
func TestAllPathsAreLostAndComeBack(t *testing.T) {
	const backAt = 12 * time.Second
	for _, n := range []int{1, 3, 34, 256, 6000} {
		t.Run(fmt.Sprint(n, " servers"), func(t *testing.T) {
			w := &world{table: reach.New(), servers: addrs(n), reachable: func(_ reach.Addr, now time.Time) bool {
				return now.Sub(start) >= backAt
			}}
			w.table.Failed(start, w.servers[0])
			for at := tick; at <= backAt+2*time.Second; at += tick {
				w.step(start.Add(at))
				if at >= time.Second && at < backAt {
					require.True(t, w.table.Isolated(), at)
				}
			}
			now := start.Add(backAt + 2*time.Second)
			require.False(t, w.table.Isolated())
			for _, a := range w.servers {
				require.Equal(t, reach.Direct, w.table.Path(now, a, false))
				require.Equal(t, reach.Direct, w.table.Path(now, a, true))
			}
			require.LessOrEqual(t, w.probes, 100)
		})
	}
}

// Guards against requests that try one server after the other though nobody reaches any: all servers are
// in backoff, so no request fails, and only probes can find that out.
func TestHopelessIsFoundByProbes(t *testing.T) {
	table, servers := reach.New(), addrs(3)
	table.Heard(start)
	for _, a := range servers {
		table.Compared(start.Add(tick), a, reach.Closed, reach.Closed, len(servers))
	}
	for at := 2 * tick; at <= 1500*time.Millisecond; at += tick {
		for _, p := range table.DueProbes(start.Add(at), servers) {
			table.Compared(start.Add(at), p.Addr, reach.Closed, reach.Closed, len(servers))
			table.EndProbe(p.Addr)
		}
	}
	require.True(t, table.Hopeless(start.Add(1500*time.Millisecond)))
}

// Guards against requests that are refused as hopeless though a peer reaches servers, because most of the peers with
// which this VM compares its paths lost theirs too: one in four reaches servers here.
func TestAPeerThatReachesServersIsHope(t *testing.T) {
	table, servers := reach.New(), addrs(14)
	table.Heard(start)
	compared := 0
	compare := func(now time.Time, a reach.Addr) {
		carried := reach.Closed
		if compared++; compared%4 == 0 {
			carried = reach.Answered
		}
		table.Compared(now, a, reach.Closed, carried, len(servers))
	}
	for at := tick; at <= 5*time.Second; at += tick {
		now := start.Add(at)
		if a := servers[int(at/tick)%len(servers)]; table.Path(now, a, false) == reach.Direct {
			compare(now, a)
		}
		for _, p := range table.DueProbes(now, servers) {
			if p.Compare {
				compare(now, p.Addr)
			}
			table.EndProbe(p.Addr)
		}
		require.False(t, table.Hopeless(now), at)
	}
}

// Guards against requests that are refused for good though no probe is ever answered: after a moment
// one is tried.
func TestHopelessEnds(t *testing.T) {
	table, servers := reach.New(), addrs(3)
	now := start
	for _, a := range servers {
		require.False(t, table.Hopeless(now))
		now = now.Add(tick)
		table.Unreached(now, a, len(servers))
	}
	require.True(t, table.Hopeless(now))
	require.False(t, table.Hopeless(now.Add(2*time.Second)))
	table.Unreached(now.Add(2*time.Second), servers[0], len(servers))
	require.True(t, table.Hopeless(now.Add(2*time.Second)))
	table.AnsweredDirectly(now.Add(2*time.Second), servers[1])
	require.False(t, table.Hopeless(now.Add(2*time.Second)))
}

// Guards against requests that are refused as hopeless while all servers are silent for a moment but
// accept connections, and against ones that wait in vain for good if data is dropped everywhere.
func TestServersThatAcceptConnectionsAreNotHopeless(t *testing.T) {
	const longestSilence = 1900 * time.Millisecond
	for _, idle := range []time.Duration{0, time.Minute} {
		t.Run(fmt.Sprint("nothing heard for ", idle, " before"), func(t *testing.T) {
			table, servers := reach.New(), addrs(9)
			table.Heard(start.Add(-idle))
			for at := tick; at <= 3*time.Second; at += tick {
				now := start.Add(at)
				for _, a := range servers[:3] {
					table.Suspect(now, a, true)
				}
				for _, p := range table.DueProbes(now, servers) {
					table.Compared(now, p.Addr, reach.Connected, reach.Connected, len(servers))
					table.EndProbe(p.Addr)
				}
				require.False(t, at <= longestSilence && table.Hopeless(now), at)
			}
			require.True(t, table.Hopeless(start.Add(3*time.Second)))
		})
	}
}

// Guards against requests that are refused as hopeless although a server has gone on sending.
func TestHopelessEndsWhenAServerIsHeard(t *testing.T) {
	table, servers := reach.New(), addrs(3)
	for _, a := range servers {
		table.Unreached(start, a, len(servers))
	}
	require.True(t, table.Hopeless(start.Add(tick)))
	table.Heard(start.Add(tick))
	require.False(t, table.Hopeless(start.Add(tick)))
}

// Guards against a VM that doesn't notice that it has no path, because the last server, of which a peer could
// tell it that, has crashed.
func TestAllPathsAreLostBesideACrash(t *testing.T) {
	table, servers := reach.New(), addrs(4)
	crashed := servers[3]
	for at := tick; at <= time.Second; at += tick {
		now := start.Add(at)
		for _, a := range servers[:3] {
			table.Suspect(now, a, true)
		}
		for _, p := range table.DueProbes(now, servers) {
			carried := reach.Answered
			if p.Addr == crashed {
				carried = reach.Closed
			}
			if p.Compare {
				table.Compared(now, p.Addr, reach.Closed, carried, len(servers))
			} else {
				table.ProbedDirectly(now, p.Addr, reach.Closed)
			}
			table.EndProbe(p.Addr)
		}
	}
	require.True(t, table.Isolated())
}

// Guards against a VM that takes all paths for lost when those to one pool's servers are while another
// pool's are silent, and against one that doesn't notice within a second of the first doubt that all are lost,
// whichever verdict comes first. A verdict comes two ticks after its probe began.
func TestLostPathsBesideSilentServers(t *testing.T) {
	servers := addrs(6)
	for _, others := range []reach.Level{reach.Connected, reach.Answered} {
		t.Run(fmt.Sprint("the peer gets ", others, " at the others"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				table := reach.New()
				table.Heard(start)
				lost := rapid.Permutation(servers).Draw(t, "lost")[:3]
				pending := map[time.Duration][]reach.Probe{}
				for at := tick; at <= 1100*time.Millisecond; at += tick {
					now := start.Add(at)
					for _, p := range rapid.Permutation(pending[at]).Draw(t, "verdicts") {
						direct, carried := reach.Connected, others
						if slices.Contains(lost, p.Addr) {
							direct, carried = reach.Closed, reach.Answered
						}
						if p.Compare {
							table.Compared(now, p.Addr, direct, carried, len(servers))
						} else {
							table.ProbedDirectly(now, p.Addr, direct)
						}
						table.EndProbe(p.Addr)
					}
					require.False(t, others == reach.Connected && table.Isolated(), at)
					for _, a := range lost {
						table.Suspect(now, a, true)
					}
					pending[at+2*tick] = table.DueProbes(now, servers)
				}
				require.Equal(t, others == reach.Answered, table.Isolated())
				for _, a := range lost {
					require.True(t, table.IsLost(a))
				}
			})
		})
	}
}

// Guards against a VM that takes all paths for lost when those to one zone's servers are.
func TestSomePathsAreLost(t *testing.T) {
	w := &world{table: reach.New(), servers: addrs(30)}
	lost := w.servers[:10]
	w.reachable = func(a reach.Addr, now time.Time) bool {
		return !slices.Contains(lost, a) || now.Sub(start) >= 5*time.Second
	}
	for at := time.Duration(0); at < 8*time.Second; at += tick {
		now := start.Add(at)
		for _, a := range lost {
			if path := w.table.Path(now, a, false); path == reach.Direct && at < 5*time.Second {
				w.table.Compared(now, a, reach.Closed, reach.Answered, len(w.servers))
			}
		}
		w.step(now)
		if at >= time.Second {
			require.False(t, w.table.Isolated(), at)
		}
	}
	require.Empty(t, w.table.Lost())
}

// Random failures, verdicts and answers. Guards against requests that may run only once on a path in
// doubt, against paths that stay lost though a server answered directly, and against probes beside
// others of the same server.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, servers := reach.New(), addrs(rapid.IntRange(1, 8).Draw(t, "servers"))
		probing := map[reach.Addr]bool{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			a := rapid.SampledFrom(servers).Draw(t, "server")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				table.Failed(now, a)
				require.NotEqual(t, reach.Direct, table.Path(now, a, true))
			case 1:
				table.Suspect(now, a, rapid.Bool().Draw(t, "all"))
			case 2:
				direct := reach.Level(rapid.IntRange(0, 2).Draw(t, "direct"))
				carried := reach.Level(rapid.IntRange(0, 2).Draw(t, "carried"))
				table.Compared(now, a, direct, carried, len(servers))
				require.True(t, carried <= direct || table.IsLost(a))
				require.True(t, carried > direct || table.IsLost(a) == (direct < reach.Answered && table.IsLost(a)))
			case 3:
				table.AnsweredDirectly(now, a)
				require.False(t, table.Isolated())
				require.False(t, table.IsLost(a))
				require.Equal(t, reach.Direct, table.Path(now, a, true))
			case 4:
				for _, p := range table.DueProbes(now, servers) {
					require.False(t, probing[p.Addr])
					probing[p.Addr] = true
				}
			case 5:
				if probing[a] {
					probing[a] = false
					table.EndProbe(a)
				}
			}
			if table.Isolated() {
				require.Equal(t, reach.Carried, table.Path(now, a, true))
			}
		}
	})
}
