package quota

import (
	"context"
	"runtime"
	"time"
)

// largeLimit is how many bytes the bodies may have together that are larger than SmallBody.
func (a *Account) largeLimit() int64 { return a.cfg.Bytes / 2 }

// beginBody records that the body of the connection's request begins to arrive. It refuses one that is announced to be
// larger than what could be made free for it.
func (c *Conn) beginBody(now time.Time, announced int64) error {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.phase == leaving {
		return ErrGivenUp
	}
	c.phase, c.began, c.progress = receiving, now, now
	if announced > SmallBody && a.large+announced-a.stalledLarge(now) > a.largeLimit() {
		return a.refuse()
	}
	return nil
}

// refuse counts a refusal. The caller holds mu.
func (a *Account) refuse() error {
	a.refused++
	return ErrNoRoom
}

// stalledLarge returns how many bytes the large bodies hold whose callers have stalled. The caller holds mu.
func (a *Account) stalledLarge(now time.Time) int64 {
	if a.large == 0 {
		return 0
	}
	var sum int64
	for c := a.conns; c != nil; c = c.next {
		if c.isStalledLarge(now) {
			sum += c.body
		}
	}
	return sum
}

func (c *Conn) isStalledLarge(now time.Time) bool {
	return c.phase == receiving && c.body > SmallBody && c.stalledFor(now) >= 0
}

// addBlock records that a block of the body is to be received, and gives up others for it if necessary. weight is how
// many bytes the process holds for each one of the block.
func (c *Conn) addBlock(now time.Time, block []byte, weight int64) error {
	n := int64(cap(block)) * weight
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.phase == leaving {
		return ErrGivenUp
	}
	for !a.fitsBody(c, n) {
		v := a.victimFor(now, c, want{large: c.body+n > SmallBody, onlyLarge: a.fitsTotal(n)})
		if v == nil {
			return a.refuse()
		}
		a.giveUp(now, v)
	}
	a.growBody(c, n)
	c.blocks = append(c.blocks, block)
	c.progress = now
	return nil
}

// growBody adds n bytes to the connection's body. The caller holds mu.
func (a *Account) growBody(c *Conn, n int64) {
	before := c.body
	c.body += n
	a.used += n
	switch {
	case before > SmallBody:
		a.large += n
	case c.body > SmallBody:
		a.large += c.body
	}
}

// fitsTotal reports whether n more bytes fit in all, once what was given up has been given back. The caller holds mu.
func (a *Account) fitsTotal(n int64) bool { return a.used-a.ending+n <= a.cfg.Bytes }

// fitsBody reports whether n more bytes of the connection's body fit. The caller holds mu.
func (a *Account) fitsBody(c *Conn, n int64) bool {
	if !a.fitsTotal(n) {
		return false
	}
	if c.body+n <= SmallBody {
		return true
	}
	large := a.large + n
	if c.body <= SmallBody {
		large += c.body
	}
	return large <= a.largeLimit()
}

// want is what room is wanted for.
type want struct {
	// large is set if it is for a large body, onlyLarge if only the room for those lacks.
	large, onlyLarge bool
}

// victimFor returns the connection that is given up for what c wants: one whose caller has stalled, the one that holds
// most; else the one whose large body began last, if that was after c's or c's is small. So of bodies that all arrive and
// don't all fit the first ones are completed. nil means that none is given up. The caller holds mu.
func (a *Account) victimFor(now time.Time, c *Conn, w want) *Conn {
	var stalled, youngest *Conn
	for v := a.conns; v != nil; v = v.next {
		switch {
		case v == c, v.phase == serving, v.phase == leaving, v.body == 0 && v.kept == 0, w.onlyLarge && v.body <= SmallBody:
		case v.stalledFor(now) >= 0:
			if stalled == nil || v.body+v.kept > stalled.body+stalled.kept {
				stalled = v
			}
		case v.phase == receiving && v.body > SmallBody && (!w.large || v.began.After(c.began)):
			if youngest == nil || v.began.After(youngest.began) {
				youngest = v
			}
		}
	}
	if stalled != nil {
		return stalled
	}
	return youngest
}

// completeBody records that the whole body has arrived.
func (c *Conn) completeBody(now time.Time) ([][]byte, error) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.phase == leaving {
		return nil, ErrGivenUp
	}
	blocks := c.blocks
	c.phase, c.progress, c.blocks, c.unread = serving, now, nil, false
	return blocks, nil
}

// endBody records that the body won't be received, and returns the reason: ErrGivenUp if it was given up, else err.
func (c *Conn) endBody(now time.Time, err error) error {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.phase == leaving {
		return ErrGivenUp
	}
	a.freeBody(c)
	c.phase, c.progress = serving, now
	a.notify()
	return err
}

// releaseBody gives back the body of the connection's request.
func (c *Conn) releaseBody() {
	if c.account.freeComplete(c) {
		// Large bodies become garbage faster than the runtime collects it by itself.
		runtime.GC()
	}
}

// freeComplete gives back a complete body. It reports whether garbage should be collected.
func (a *Account) freeComplete(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.body == 0 {
		return false
	}
	if c.body > SmallBody {
		a.garbage += c.body
	}
	a.freeBody(c)
	a.notify()
	if a.garbage <= a.largeLimit()/2 {
		return false
	}
	a.garbage = 0
	return true
}

// takeAnswer takes room for n bytes of an answer. If there is none it gives up others, and else waits until ctx ends.
func (c *Conn) takeAnswer(ctx context.Context, n int64) error {
	for {
		freed, err := c.tryAnswer(time.Now(), n)
		if freed == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return c.account.noteRefusal()
		case <-freed:
		// Callers may have stalled since.
		case <-time.After(StallTime / 10):
		}
	}
}

// takeMore takes room for n more bytes of an answer that already takes held. It doesn't wait then: answers that wait for
// each other would wait until their callers have left.
func (c *Conn) takeMore(ctx context.Context, n, held int64) error {
	if held == 0 {
		return c.takeAnswer(ctx, n)
	}
	freed, err := c.tryAnswer(time.Now(), n)
	if freed != nil {
		return c.account.noteRefusal()
	}
	return err
}

func (a *Account) noteRefusal() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refuse()
}

func (c *Conn) tryAnswer(now time.Time, n int64) (<-chan struct{}, error) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.account.tryKeep(now, c, n)
}

// releaseAnswer gives back n bytes of an answer.
func (c *Conn) releaseAnswer(n int64) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.giveBack(c, n)
}

// tryKeep takes room for n bytes of a header or an answer, and returns nil; else a channel that is closed once something
// was given back, or the error if there never will be room. The caller holds mu.
func (a *Account) tryKeep(now time.Time, c *Conn, n int64) (<-chan struct{}, error) {
	switch {
	case c.phase == leaving:
		return nil, ErrGivenUp
	case n > a.cfg.Bytes:
		return nil, a.refuse()
	}
	for !a.fitsTotal(n) {
		v := a.victimFor(now, c, want{})
		if v == nil {
			return a.awaitFreed(), nil
		}
		a.giveUp(now, v)
	}
	if a.used+n > a.cfg.Bytes {
		return a.awaitFreed(), nil
	}
	a.used += n
	c.kept += n
	return nil, nil
}

// giveBack gives back n bytes that tryKeep took. The caller holds mu.
func (a *Account) giveBack(c *Conn, n int64) {
	if n == 0 {
		return
	}
	a.used -= n
	c.kept -= n
	if c.phase == leaving {
		a.ending -= n
	}
	a.notify()
}
