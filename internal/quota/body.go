package quota

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"time"
)

// Body is a complete body or answer in blocks. A nil *Body is empty.
type Body struct {
	size int64
	// blocks are not empty; only the last ones may not be full. A body has one at most.
	blocks [][]byte
	// conn accounts for it.
	conn *Conn
	// answer is set if it is an answer, which takes held bytes.
	answer bool
	held   int64
}

// Size returns the number of bytes.
func (b *Body) Size() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// Blocks returns the blocks, which must not be changed.
func (b *Body) Blocks() [][]byte {
	if b == nil {
		return nil
	}
	return b.blocks
}

// Bytes returns all bytes in one piece.
func (b *Body) Bytes() []byte {
	if blocks := b.Blocks(); len(blocks) == 1 {
		return blocks[0]
	}
	return bytes.Join(b.Blocks(), nil)
}

// join puts a body into one block: net/http sends the header of a request ahead of a body unless it knows the body's
// memory.
func (b *Body) join() {
	if len(b.blocks) < 2 {
		return
	}
	whole := b.Bytes()
	recycle(b.blocks)
	b.blocks = [][]byte{whole}
}

// Reader returns a reader of a body. Several can be read at once. net/http may go on reading one that it has closed, so
// the memory of a complete body is left to the garbage collector.
func (b *Body) Reader() io.Reader { return bytes.NewReader(b.Bytes()) }

// Send writes an answer to its caller, who makes progress with each block.
func (b *Body) Send(w io.Writer) error {
	for _, block := range b.Blocks() {
		if b.size > SmallBody {
			if err := b.conn.Send(time.Now()); err != nil {
				return err
			}
		}
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// Release gives back the room of the body, which the caller doesn't use any more.
func (b *Body) Release() {
	switch {
	case b == nil:
	case !b.answer:
		b.conn.releaseBody()
	default:
		b.conn.releaseAnswer(b.held)
		recycle(b.blocks)
		b.blocks, b.held, b.size = nil, 0, 0
	}
}

// Spec describes what is to be received.
type Spec struct {
	// Announced is the announced length, below 0 if there is none. Limit is the maximum length, at least Announced.
	Announced, Limit int64
	// Weight is how many bytes the process holds for each byte of a body; 0 means 1.
	Weight int64
}

// ReceiveBody reads the body of the connection's request. The error is ErrTooLarge, ErrNoRoom, ErrGivenUp or one of the
// reader.
func (c *Conn) ReceiveBody(r io.Reader, spec Spec) (*Body, error) {
	if spec.Announced > spec.Limit {
		return nil, ErrTooLarge
	}
	if c == nil {
		c = detached()
	}
	weight := max(spec.Weight, 1)
	if err := c.beginBody(time.Now(), spec.Announced*weight); err != nil {
		return nil, err
	}
	size, err := receive(r, spec, blockSize, func(block []byte) error { return c.addBlock(time.Now(), block, weight) })
	if err != nil {
		return nil, c.endBody(time.Now(), err)
	}
	blocks, err := c.completeBody(time.Now())
	if err != nil {
		return nil, err
	}
	b := newBody(blocks, size)
	b.conn = c
	b.join()
	return b, nil
}

// ReceiveAnswer reads an answer for the caller of the connection's request. It waits for room until ctx ends. The error
// is ErrTooLarge, ErrNoRoom, ErrGivenUp or one of the reader.
func (c *Conn) ReceiveAnswer(ctx context.Context, r io.Reader, spec Spec) (*Body, error) {
	if spec.Announced > spec.Limit {
		return nil, ErrTooLarge
	}
	if c == nil {
		c = detached()
	}
	held := max(spec.Announced, 0)
	if err := c.takeAnswer(ctx, held); err != nil {
		return nil, err
	}
	var blocks [][]byte
	size, err := receive(r, spec, answerBlock, func(block []byte) error {
		blocks = append(blocks, block)
		if spec.Announced >= 0 {
			return nil
		}
		n := int64(cap(block))
		if err := c.takeMore(ctx, n, held); err != nil {
			return err
		}
		held += n
		return nil
	})
	if err != nil {
		c.releaseAnswer(held)
		recycle(blocks)
		return nil, err
	}
	b := newBody(blocks, size)
	b.conn, b.answer, b.held = c, true, held
	return b, nil
}

// detached returns an entry of an account of its own, without limits.
func detached() *Conn {
	return &Conn{account: New(Config{Bytes: math.MaxInt64}), hooks: Hooks{StopReading: func() {}, StopWriting: func() {}, Close: func() {}}}
}

// newBody returns a body of size bytes.
func newBody(blocks [][]byte, size int64) *Body {
	b := &Body{size: size}
	for _, block := range blocks {
		n := min(int64(len(block)), size)
		if n == 0 {
			break
		}
		b.blocks = append(b.blocks, block[:n])
		size -= n
	}
	return b
}

// receive reads all of r into blocks, each of which is added before it is filled, and returns the number of bytes.
func receive(r io.Reader, spec Spec, blockSize int64, add func(block []byte) error) (int64, error) {
	var size int64
	next := min(firstBlock, blockSize)
	for {
		if spec.Announced >= 0 {
			next = min(spec.Announced-size, blockSize)
		}
		if next == 0 {
			return size, expectEnd(r)
		}
		block := newBlock(next)
		if err := add(block); err != nil {
			return size, err
		}
		n, err := fill(r, block)
		size += n
		switch {
		case size > spec.Limit:
			return size, ErrTooLarge
		case errors.Is(err, io.EOF):
			return size, nil
		case err != nil:
			return size, err
		}
		next = blockSize
	}
}

// expectEnd reads the end of r, which has returned as many bytes as were announced.
func expectEnd(r io.Reader) error {
	_, err := fill(r, make([]byte, 1))
	switch {
	case err == nil:
		return ErrTooLarge
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}

// fill reads until the block is full or r returns an error.
func fill(r io.Reader, block []byte) (int64, error) {
	n := 0
	for n < len(block) {
		k, err := r.Read(block[n:])
		n += k
		if err != nil {
			return int64(n), err
		}
	}
	return int64(n), nil
}
