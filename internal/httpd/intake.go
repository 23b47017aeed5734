package httpd

import (
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	shed "jasmineshed"
)

// reopenRetry is when opening a listener is tried again after a failure.
const reopenRetry = 20 * time.Millisecond

// intakeListener is closed while an Intake pauses. The system then refuses connections, and resets those that
// wait to be accepted: their callers know at once that nothing was read, at the cost of a packet. A
// connection that is accepted and closed would cost the processor more, and the link the bytes of its request.
type intakeListener struct {
	intake shed.Intake
	reopen func() (net.Listener, error)
	addr   net.Addr
	log    logrus.FieldLogger
	// closed is closed by Close.
	closed chan struct{}

	mu sync.Mutex
	// inner is nil while the intake pauses.
	inner net.Listener
	ended bool
}

func newIntakeListener(cfg Config) *intakeListener {
	return &intakeListener{
		intake: cfg.Intake, reopen: cfg.Reopen, addr: cfg.Listener.Addr(), log: cfg.Log,
		inner: cfg.Listener, closed: make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *intakeListener) Accept() (net.Conn, error) {
	for {
		if l.isClosed() {
			return nil, net.ErrClosed
		}
		if pause := l.intake.Pause(); pause > 0 {
			l.pause(pause)
			continue
		}
		inner, err := l.listener()
		if err != nil {
			return nil, err
		}
		if inner == nil {
			l.wait(reopenRetry)
			continue
		}
		c, err := inner.Accept()
		if err == nil {
			l.intake.Taken()
		}
		return c, err
	}
}

func (l *intakeListener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// pause closes the listener and waits.
func (l *intakeListener) pause(d time.Duration) {
	l.mu.Lock()
	inner := l.inner
	l.inner = nil
	l.mu.Unlock()
	if inner != nil {
		if err := inner.Close(); err != nil {
			l.log.WithError(err).Warn("listener not closed for a pause")
		}
	}
	l.wait(d)
}

// listener returns the open listener, after it has opened it if it was closed; nil if it can't be opened now.
func (l *intakeListener) listener() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil, net.ErrClosed
	}
	if l.inner != nil {
		return l.inner, nil
	}
	inner, err := l.reopen()
	if err != nil {
		l.log.WithError(err).Warn("listener not reopened after a pause")
		return nil, nil
	}
	l.inner = inner
	return inner, nil
}

// wait waits for d or until the listener is closed for good.
func (l *intakeListener) wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.closed:
	}
}

// Close implements net.Listener.
func (l *intakeListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return net.ErrClosed
	}
	l.ended = true
	close(l.closed)
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *intakeListener) Addr() net.Addr { return l.addr }
