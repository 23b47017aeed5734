package quota

import "time"

// FieldAllowance is how many fields of a header the share of its connection covers.
const FieldAllowance = 64

const (
	// headAllowance is how much of a header the share of its connection covers, in bytes as sent.
	headAllowance = 1 << 10
	// headFactor is how many bytes the parsed header takes for each one that is sent, if its fields are as short as
	// possible. fieldBytes is how many a field takes in the request and in the copy that is forwarded.
	headFactor, fieldBytes = 32, 512
)

// ReadHead records that n bytes were read from the connection. While they are part of a header, the error is ErrNoRoom if
// there is none for its fields.
func (c *Conn) ReadHead(now time.Time, n int) error {
	if c == nil || !c.readsHead.Load() {
		return nil
	}
	return c.setHead(now, (c.headRead.Add(int64(n))-headAllowance)*headFactor)
}

// BeginRequest records that a request with so many header fields, and with a body or without, waits for this system. The
// error is ErrNoRoom if there is none for the fields, or ErrGivenUp.
func (c *Conn) BeginRequest(now time.Time, fields int, hasBody bool) error {
	if c == nil {
		return nil
	}
	if err := c.enter(now, serving); err != nil {
		return err
	}
	c.headRead.Store(0)
	if err := c.setHead(now, int64(fields-FieldAllowance)*fieldBytes); err != nil {
		return err
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.unread = hasBody
	return nil
}

// EndRequest records that the request's handler has returned. It reports whether a part of the body may not have been
// read: net/http then reads it before it answers, and the connection waits for its caller, unless it was given up.
func (c *Conn) EndRequest(now time.Time) (unread bool) {
	if c == nil {
		return false
	}
	_ = c.setHead(now, 0)
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	unread = c.unread && c.phase != leaving
	c.unread = false
	if unread {
		c.phase, c.progress = receiving, now
	}
	return unread
}

// setHead takes room for a header of n bytes, in place of what was taken for it.
func (c *Conn) setHead(now time.Time, n int64) error {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	more := max(n, 0) - c.head
	if more <= 0 {
		a.giveBack(c, -more)
		c.head += more
		return nil
	}
	freed, err := a.tryKeep(now, c, more)
	switch {
	case err != nil:
		return err
	case freed != nil:
		return a.refuse()
	}
	c.head += more
	return nil
}
