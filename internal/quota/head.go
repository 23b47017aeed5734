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
	c.headRead += int64(n)
	return c.setHead(now, (c.headRead-headAllowance)*headFactor)
}

// BeginRequest records that a request with so many header fields waits for this system. The error is ErrNoRoom if there is
// none for them, or ErrGivenUp.
func (c *Conn) BeginRequest(now time.Time, fields int) error {
	if c == nil {
		return nil
	}
	c.headRead = 0
	if err := c.enter(now, serving); err != nil {
		return err
	}
	return c.setHead(now, int64(fields-FieldAllowance)*fieldBytes)
}

// EndRequest records that the request's handler has returned.
func (c *Conn) EndRequest() {
	if c != nil {
		_ = c.setHead(time.Time{}, 0)
	}
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
