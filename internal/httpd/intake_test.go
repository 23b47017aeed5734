package httpd

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// fakeIntake pauses while paused is set, and counts.
type fakeIntake struct {
	paused        atomic.Bool
	asked, taken  atomic.Int64
	reopenFailing atomic.Bool
}

// Pause implements shed.Intake.
func (i *fakeIntake) Pause() time.Duration {
	i.asked.Add(1)
	if i.paused.Load() {
		return 5 * time.Millisecond
	}
	return 0
}

// Taken implements shed.Intake.
func (i *fakeIntake) Taken() { i.taken.Add(1) }

// newTestIntake returns a listener behind an intake; the goroutine that accepts ends with it.
func newTestIntake(t *testing.T) (*fakeIntake, *intakeListener) {
	t.Helper()
	inner, err := Listen(t.Context(), "127.0.0.1:0", time.Second)
	require.NoError(t, err)
	addr, intake := inner.Addr().String(), &fakeIntake{}
	l := newIntakeListener(Config{Listener: inner, Intake: intake, Log: logrus.New(), Reopen: func() (net.Listener, error) {
		if intake.reopenFailing.Load() {
			return nil, syscall.EADDRINUSE
		}
		return Listen(t.Context(), addr, time.Second)
	}})
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			_ = c.Close()
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		require.NoError(t, g.Wait())
	})
	return intake, l
}

// canConnect reports whether the listener's system accepts a connection.
func canConnect(t *testing.T, l net.Listener) bool {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		require.True(t, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET), err)
		return false
	}
	_ = c.Close()
	return true
}

// Guards against connections that hang or are accepted during a pause, and against a listener that stays closed
// after it, also if it can't be reopened at once.
func TestPausedListenerRefuses(t *testing.T) {
	intake, l := newTestIntake(t)
	require.True(t, canConnect(t, l))
	intake.paused.Store(true)
	// The goroutine that waits for a connection takes one more before it pauses.
	require.Eventually(t, func() bool { return !canConnect(t, l) }, time.Second, time.Millisecond)
	taken := intake.taken.Load()
	for range 20 {
		require.False(t, canConnect(t, l))
	}
	require.Equal(t, taken, intake.taken.Load())
	intake.reopenFailing.Store(true)
	intake.paused.Store(false)
	time.Sleep(2 * reopenRetry)
	require.False(t, canConnect(t, l))
	intake.reopenFailing.Store(false)
	require.Eventually(t, func() bool { return canConnect(t, l) }, time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return intake.taken.Load() > taken }, time.Second, time.Millisecond)
}

// Guards against a loop without end, and against a stop that waits, when a listener is closed during a pause.
func TestPausedListenerCloses(t *testing.T) {
	intake, l := newTestIntake(t)
	intake.paused.Store(true)
	require.Eventually(t, func() bool { return !canConnect(t, l) }, time.Second, time.Millisecond)
	require.NoError(t, l.Close())
	time.Sleep(20 * time.Millisecond)
	asked := intake.asked.Load()
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, asked, intake.asked.Load())
	require.ErrorIs(t, l.Close(), net.ErrClosed)
}
