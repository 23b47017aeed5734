package plat_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	shed "jasmineshed"
	"jasmineshed/internal/plat"
	"jasmineshed/internal/rules"
	"jasmineshed/internal/stand"
	"jasmineshed/internal/wire"
)

const platformURL = "http://platform:1"

// reader is a Platform before a stand-in on a network in memory.
func reader(t *testing.T, h http.Handler) *plat.Platform {
	t.Helper()
	n := stand.NewNet()
	l, err := n.Listen("platform:1")
	require.NoError(t, err)
	s := stand.ServeOn(l, h)
	p := plat.New(plat.Config{URL: platformURL, Dial: n.Dial})
	t.Cleanup(func() {
		p.Close()
		_ = s.Close()
	})
	return p
}

// values are the index of some parts, and the parts.
func values(parts ...string) (map[string][]byte, []shed.PartHash) {
	out := map[string][]byte{}
	var hashes []shed.PartHash
	var names []string
	for _, part := range parts {
		hash := sha256.Sum256([]byte(part))
		hashes = append(hashes, hash)
		names = append(names, `"`+hex.EncodeToString(hash[:])+`"`)
		out[rules.PartName(hash)] = []byte(part)
	}
	out[rules.IndexKey] = []byte(`{"parts":[` + strings.Join(names, ",") + `]}`)
	return out, hashes
}

func TestConfigReadsOnlyWhatIsMissing(t *testing.T) {
	stood := stand.NewPlatform(stand.PlatformConfig{})
	p := reader(t, stood)
	ctx := t.Context()
	_, err := p.Config(ctx, shed.ReadConfig{})
	require.ErrorIs(t, err, plat.ErrNotFound)

	first, hashes := values("a", "b")
	revision := stood.Publish(first)
	got, err := p.Config(ctx, shed.ReadConfig{})
	require.NoError(t, err)
	require.Equal(t, shed.ConfigIndex{Revision: revision, Parts: hashes}, got.Index)
	require.Len(t, got.Parts, 2)

	second, hashes := values("a", "c")
	stood.Publish(second)
	got, err = p.Config(ctx, shed.ReadConfig{After: revision, Have: hashes[:1]})
	require.NoError(t, err)
	require.Equal(t, map[shed.PartHash][]byte{hashes[1]: []byte("c")}, got.Parts)

	got, err = p.Config(ctx, shed.ReadConfig{After: 2})
	require.NoError(t, err)
	require.Equal(t, shed.ConfigRead{Index: shed.ConfigIndex{Revision: 2}}, got)
	require.Equal(t, 7, stood.Calls().Reads)
}

func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stood := stand.NewPlatform(stand.PlatformConfig{})
		p := reader(t, stood)
		first, _ := values("a")
		stood.Publish(first)
		began := time.Now()
		got, err := p.Config(t.Context(), shed.ReadConfig{After: 1, Wait: 5 * time.Second})
		require.NoError(t, err)
		require.Equal(t, shed.ConfigIndex{Revision: 1}, got.Index)
		require.Equal(t, 5*time.Second, time.Since(began))

		var group errgroup.Group
		group.Go(func() error {
			got, err = p.Config(t.Context(), shed.ReadConfig{After: 1, Wait: 30 * time.Second})
			return err
		})
		time.Sleep(time.Second)
		second, hashes := values("b")
		stood.Publish(second)
		require.NoError(t, group.Wait())
		require.Equal(t, shed.ConfigIndex{Revision: 2, Parts: hashes}, got.Index)
		require.Equal(t, 6*time.Second, time.Since(began))
	})
}

// A daemon keeps its newer configuration. The platform falls back to an older
// state and answers reads with it; the reader must show that revision, and not
// take the answer for a confirmation of the newer one.
func TestStalePlatformShows(t *testing.T) {
	stood := stand.NewPlatform(stand.PlatformConfig{})
	p := reader(t, stood)
	first, _ := values("a")
	stood.Publish(first)
	stood.SetStale(true)
	second, _ := values("b")
	stood.Publish(second)
	got, err := p.Config(t.Context(), shed.ReadConfig{After: 2})
	require.NoError(t, err)
	require.Equal(t, shed.ConfigRead{Index: shed.ConfigIndex{Revision: 1}}, got)
	stood.SetStale(false)
	got, err = p.Config(t.Context(), shed.ReadConfig{After: 1})
	require.NoError(t, err)
	require.EqualValues(t, 2, got.Index.Revision)
}

// The daemon goes on with what it has. The platform hangs or dies under a watch
// or a read; each ends with an error within its time, and the next one works.
func TestPlatformDownAndMute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stood := stand.NewPlatform(stand.PlatformConfig{})
		p := reader(t, stood)
		first, _ := values("a")
		stood.Publish(first)
		began := time.Now()
		stood.SetUnresponsive(true)
		_, err := p.Config(t.Context(), shed.ReadConfig{})
		require.ErrorIs(t, err, plat.ErrUnreachable)
		require.Equal(t, 3*time.Second, time.Since(began))
		stood.SetUnresponsive(false)

		var group errgroup.Group
		group.Go(func() error {
			_, err := p.Config(t.Context(), shed.ReadConfig{After: 1, Wait: 30 * time.Second})
			return err
		})
		time.Sleep(time.Second)
		stood.SetDown(true)
		require.ErrorIs(t, group.Wait(), plat.ErrUnreachable)
		require.Equal(t, 4*time.Second, time.Since(began))
		stood.SetDown(false)
		_, err = p.Config(t.Context(), shed.ReadConfig{})
		require.NoError(t, err)
	})
}

func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stood := stand.NewPlatform(stand.PlatformConfig{ReadsPerSecond: 3})
		p := reader(t, stood)
		for range 3 {
			_, err := p.VMs(t.Context())
			require.NoError(t, err)
		}
		_, err := p.VMs(t.Context())
		require.ErrorIs(t, err, plat.ErrBudgetExhausted)
		time.Sleep(time.Second)
		_, err = p.VMs(t.Context())
		require.NoError(t, err)
		require.Equal(t, stand.PlatformCalls{VMs: 5, Refused: 1, Peak: 4}, stood.Calls())
	})
}

func TestVMsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stood := stand.NewPlatform(stand.PlatformConfig{VMLag: 10 * time.Second})
		p := reader(t, stood)
		stood.SetVMs([]wire.VM{{VM: "10.0.0.1:1", Zone: "a"}})
		stood.SetVMs([]wire.VM{{VM: "10.0.0.1:1", Zone: "a", Leaving: true}})
		vms, err := p.VMs(t.Context())
		require.NoError(t, err)
		require.Equal(t, []shed.VMEntry{{VM: "10.0.0.1:1", Zone: "a"}}, vms)
		time.Sleep(10 * time.Second)
		vms, err = p.VMs(t.Context())
		require.NoError(t, err)
		require.True(t, vms[0].Leaving)
	})
}

// Nothing of a configuration is taken when one of its parts is wrong, so that
// every daemon has the whole revision or the one before.
func TestBadReplies(t *testing.T) {
	good, hashes := values("a")
	name := rules.PartName(hashes[0])
	cases := []struct {
		name  string
		index string
		part  string
	}{
		{"other contents", string(good[rules.IndexKey]), "b"},
		{"no JSON", `{"parts":`, "a"},
		{"no hash", `{"parts":["zz"]}`, "a"},
		{"long hash", `{"parts":["` + strings.Repeat("0", 66) + `"]}`, "a"},
		{"too many parts", `{"parts":[` + strings.Repeat(`"",`, 9999) + `""]}`, "a"},
		{"part too large", string(good[rules.IndexKey]), strings.Repeat("a", 1<<20+1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stood := stand.NewPlatform(stand.PlatformConfig{})
			stood.Publish(map[string][]byte{rules.IndexKey: []byte(c.index), name: []byte(c.part)})
			got, err := reader(t, stood).Config(context.Background(), shed.ReadConfig{})
			require.ErrorIs(t, err, plat.ErrBadReply)
			require.Equal(t, shed.ConfigRead{Failed: true}, got)
		})
	}
}

// A daemon that sees no peer reads a large configuration over a small link, and its time
// is over before all parts are there. It gets those that came, and asks for the others
// the next time: were they thrown away, it would begin anew each time, and never serve.
func TestTimeIsOverBeforeAllPartsCame(t *testing.T) {
	stood := stand.NewPlatform(stand.PlatformConfig{})
	content, hashes := values("a", "b", "c")
	revision := stood.Publish(content)
	last := strings.TrimPrefix(rules.PartName(hashes[2]), "/")
	p := reader(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, last) {
			<-r.Context().Done()
			return
		}
		stood.ServeHTTP(w, r)
	}))
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	got, err := p.Config(ctx, shed.ReadConfig{})
	require.ErrorIs(t, err, plat.ErrUnreachable)
	require.Equal(t, shed.ConfigIndex{Revision: revision, Parts: hashes}, got.Index)
	require.Equal(t, map[shed.PartHash][]byte{hashes[0]: []byte("a"), hashes[1]: []byte("b")}, got.Parts)
}
