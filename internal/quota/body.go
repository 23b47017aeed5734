package quota

import (
	"context"
	"errors"
	"io"
	"math"
	"os"
	"sync"
	"time"
)

// Body is a complete body or answer in blocks. A nil *Body is empty.
type Body struct {
	size int64
	// conn accounts for it.
	conn *Conn
	// answer is set if it is an answer, which takes held bytes.
	answer bool
	held   int64

	mu sync.Mutex
	// blocks are not empty; only the last ones may not be full.
	blocks [][]byte
	// readers counts the readers that are not closed. released is set once nothing else uses the blocks.
	readers  int
	released bool
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
	out := make([]byte, 0, b.Size())
	for _, block := range b.Blocks() {
		out = append(out, block...)
	}
	return out
}

// Reader returns a reader of the whole body. Several can be read at once. The blocks are reused once all are closed and
// the body is released, so none can be read after it was closed.
func (b *Body) Reader() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers++
	return &reader{body: b, blocks: b.blocks}
}

// reader reads blocks one after the other.
type reader struct {
	body *Body

	// mu is held while a block is read: net/http may close a body that it still reads.
	mu     sync.Mutex
	blocks [][]byte
	// at is the position in the first of the blocks.
	at     int
	closed bool
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closed:
		return 0, os.ErrClosed
	case len(r.blocks) == 0:
		return 0, io.EOF
	}
	n := copy(p, r.blocks[0][r.at:])
	if r.at += n; r.at == len(r.blocks[0]) {
		r.blocks, r.at = r.blocks[1:], 0
	}
	return n, nil
}

// Close implements io.Closer.
func (r *reader) Close() error {
	r.mu.Lock()
	was := r.closed
	r.closed, r.blocks = true, nil
	r.mu.Unlock()
	if !was {
		r.body.closeReader()
	}
	return nil
}

func (b *Body) closeReader() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers--
	b.recycleUnused()
}

// recycleUnused lets the blocks be reused if nothing uses them any more. The caller holds mu.
func (b *Body) recycleUnused() {
	if b.released && b.readers == 0 {
		recycle(b.blocks)
		b.blocks = nil
	}
}

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
	if b == nil || b.released {
		return
	}
	if b.answer {
		b.conn.releaseAnswer(b.held)
	} else {
		b.conn.releaseBody()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	b.recycleUnused()
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
