package stand_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"jasmineshed/internal/stand"
	"jasmineshed/internal/wire"
)

// ask calls a handler in memory.
// final records the final answer: a recorder would take an early answer (103)
// for the whole one.
type final struct{ *httptest.ResponseRecorder }

func (f final) WriteHeader(status int) {
	if status >= http.StatusOK {
		f.ResponseRecorder.WriteHeader(status)
	}
}

func ask(h http.Handler, method, path, id, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(wire.HeaderCall, id)
	w := httptest.NewRecorder()
	h.ServeHTTP(final{w}, r)
	return w
}

const chat = `{"stream":true,"max_tokens":10,"messages":[{"role":"user","content":"hail"}]}`

func load(t *testing.T, h http.Handler) wire.Load {
	t.Helper()
	var l wire.Load
	require.NoError(t, json.Unmarshal(ask(h, "GET", wire.PathLoad, "", "").Body.Bytes(), &l))
	return l
}

// An engine that is cold gets one call more than it bears: it falls over,
// refuses everything for a while, and the oracle can see by how much.
func TestColdEngineFallsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := stand.NewEngine(stand.EngineConfig{
			ID: "s1", Capacity: 4, ColdCapacity: 2, WarmAfter: 3, TokenTime: 100 * time.Millisecond,
		})
		var group errgroup.Group
		for _, id := range []string{"a/0/1", "b/0/1"} {
			group.Go(func() error {
				ask(e, "POST", wire.PathChat, id, chat)
				return nil
			})
		}
		synctest.Wait()
		w := ask(e, "POST", wire.PathChat, "c/0/1", chat)
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, "2", w.Header().Get("Retry-After"))
		require.Equal(t, wire.NotRunTrue, w.Header().Get(wire.HeaderNotRun))
		require.Len(t, e.Overshoots(), 1)
		require.Equal(t, 3, e.MaxColdRunning())
		require.NoError(t, group.Wait())
		time.Sleep(2 * time.Second)
		require.Equal(t, http.StatusOK, ask(e, "POST", wire.PathChat, "d/0/1", chat).Code)
		require.False(t, e.Cold())
		require.Equal(t, 2, e.MaxRunning())
	})
}

func TestWarmEngineRefusesAboveCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := stand.NewEngine(stand.EngineConfig{Capacity: 1, TokenTime: time.Millisecond})
		var group errgroup.Group
		group.Go(func() error {
			ask(e, "POST", wire.PathChat, "a/0/1", chat)
			return nil
		})
		synctest.Wait()
		require.Equal(t, http.StatusServiceUnavailable, ask(e, "POST", wire.PathChat, "b/0/1", chat).Code)
		require.NoError(t, group.Wait())
		require.Empty(t, e.Overshoots())
		require.Equal(t, 1, e.Refused())
	})
}

func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := stand.NewEngine(stand.EngineConfig{ID: "s1", LoadLag: time.Second, TokenTime: 300 * time.Millisecond})
		var group errgroup.Group
		group.Go(func() error {
			ask(e, "POST", wire.PathChat, "a/0/1", chat)
			return nil
		})
		synctest.Wait()
		require.Zero(t, load(t, e).Running)
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, 1, load(t, e).Running)
		require.NoError(t, group.Wait())
		l := load(t, e)
		require.Equal(t, wire.Load{Boot: "s1-0", Sequence: 3, Running: 1, Warm: true, AgeMS: 1000}, l)
		time.Sleep(time.Second)
		require.EqualValues(t, 1, load(t, e).Done)
	})
}

func TestPrefixCacheMakesTheFirstTokenFaster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := stand.NewEngine(stand.EngineConfig{
			PrefillTime: 100 * time.Millisecond, CacheEntries: 1, CacheGap: 2, CacheLag: time.Second,
		})
		took := func(body string) time.Duration {
			began := time.Now()
			ask(e, "POST", wire.PathChat, "a/0/1", body)
			return time.Since(began)
		}
		other := strings.Replace(chat, "hail", "snow", 1)
		require.Equal(t, 100*time.Millisecond, took(chat))
		require.Equal(t, 10*time.Millisecond, took(chat))
		require.Equal(t, 100*time.Millisecond, took(other))
		require.Equal(t, 100*time.Millisecond, took(chat))
		time.Sleep(time.Second)
		var got wire.CacheEvents
		require.NoError(t, json.Unmarshal(ask(e, "GET", wire.PathCacheEvents, "", "").Body.Bytes(), &got))
		var sequences []uint64
		for _, ev := range got.Events {
			sequences = append(sequences, ev.Sequence)
		}
		require.Equal(t, []uint64{1, 3, 5}, sequences)
	})
}

func TestOrderTurnsTheEngineCold(t *testing.T) {
	e := stand.NewEngine(stand.EngineConfig{Model: "m@1", WarmAfter: 1})
	ask(e, "POST", wire.PathChat, "a/0/1", chat)
	require.False(t, e.Cold())
	require.Equal(t, 200, ask(e, "POST", wire.PathOrders, "", `{"fence":9,"model":"m","version":"2"}`).Code)
	require.True(t, e.Cold())
	require.Equal(t, 200, ask(e, "POST", wire.PathOrders, "", `{"fence":3,"model":"m","version":"1"}`).Code)
	require.EqualValues(t, 3, load(t, e).Fence)
	require.Len(t, e.Orders(), 2)
	e.Restart()
	require.Equal(t, "-1", load(t, e).Boot)
}

func TestBadBodiesAreNotRun(t *testing.T) {
	e := stand.NewEngine(stand.EngineConfig{})
	s := stand.NewService(stand.ServiceConfig{})
	cases := []struct {
		name, path, body string
		h                http.Handler
	}{
		{"chat", wire.PathChat, `{"stream":`, e},
		{"chat not streamed", wire.PathChat, `{"stream":false}`, e},
		{"embeddings", wire.PathEmbeddings, `[]`, e},
		{"rerank", wire.PathRerank, `x`, e},
		{"retrieve", wire.PathRetrieve, ``, e},
		{"order", wire.PathOrders, `x`, e},
		{"service", wire.PathCall, `x`, s},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := ask(c.h, "POST", c.path, "a/0/1", c.body)
			require.Equal(t, http.StatusBadRequest, w.Code)
			require.Equal(t, wire.NotRunTrue, w.Header().Get(wire.HeaderNotRun))
		})
	}
	require.Empty(t, e.Runs())
	require.Empty(t, s.Runs())
}

func TestServiceFaults(t *testing.T) {
	s := stand.NewService(stand.ServiceConfig{})
	s.InjectFaults(stand.ServiceFailsBefore, stand.ServiceFailsAfter)
	require.Equal(t, 503, ask(s, "POST", wire.PathCall, "a/0/1", `{"request":"a"}`).Code)
	require.Zero(t, s.CountRuns("a"))
	require.Equal(t, 500, ask(s, "POST", wire.PathCall, "a/0/2", `{"request":"a"}`).Code)
	require.Equal(t, 200, ask(s, "POST", wire.PathCall, "a/0/3", `{"request":"a"}`).Code)
	require.Equal(t, 2, s.CountRuns("a"))
	require.Equal(t, []string{"a"}, s.DuplicateRequests())
}

func TestOperatorsPublish(t *testing.T) {
	p := stand.NewPlatform(stand.PlatformConfig{})
	require.Equal(t, "1", ask(p.Admin(), "PUT", "/admin/values/rules", "", "x").Header().Get(wire.HeaderRevision))
	require.Equal(t, http.StatusNotFound, ask(p, "PUT", "/admin/values/rules", "", "y").Code)
	require.Equal(t, "x", ask(p, "GET", wire.PathValues+"rules", "", "").Body.String())
	large := strings.Repeat("x", 1<<20+1)
	require.Equal(t, http.StatusRequestEntityTooLarge, ask(p.Admin(), "PUT", "/admin/values/rules", "", large).Code)
}
