package fault_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"jasmineshed/internal/fault"
)

// Guards against a frozen server that answers, loses something or runs a request twice: a request that is
// answered in part and one over a new connection wait until the server is thawed, and are complete then.
func TestFrozenServerGoesOnWhereItWas(t *testing.T) {
	const silence = 200 * time.Millisecond
	var f fault.Freezer
	begun, runs := make(chan struct{}, 2), make(chan struct{}, 4)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs <- struct{}{}
		_, _ = io.WriteString(w, "one")
		_ = http.NewResponseController(w).Flush()
		begun <- struct{}{}
		time.Sleep(silence / 4)
		f.Wait()
		_, _ = io.WriteString(w, " two")
	}))
	s.Listener = f.WrapListener(s.Listener)
	s.Start()
	t.Cleanup(s.Close)
	var took [2]time.Duration
	var g errgroup.Group
	call := func(i int) {
		g.Go(func() error {
			sent := time.Now()
			resp, err := http.Get(s.URL)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			took[i] = time.Since(sent)
			if err == nil && string(body) != "one two" {
				err = io.ErrUnexpectedEOF
			}
			return err
		})
	}
	call(0)
	<-begun
	f.Freeze()
	call(1)
	time.Sleep(silence)
	f.Thaw()
	require.NoError(t, g.Wait())
	require.GreaterOrEqual(t, took[0], silence)
	require.GreaterOrEqual(t, took[1], silence)
	require.Len(t, runs, 2)
}
