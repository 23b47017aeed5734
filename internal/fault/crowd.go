package fault

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// crowdPause is the pause of a caller of a Crowd between two connections.
const crowdPause = 50 * time.Millisecond

// Upload is what each caller of a Crowd sends on a connection.
type Upload struct {
	// Head is the request line and the header without the empty line at its end and without the length or the
	// encoding of the body.
	Head string
	// HeadOnly: nothing is sent but Head, so that the header doesn't end.
	HeadOnly bool
	// Body, if not nil, is sent whole, with its length; the fields below are not used then.
	Body []byte
	// Announced is the length that the header states; below 0 the body is chunked.
	Announced int64
	// Sent is how many bytes of the body are sent; below 0 the caller sends until it is stopped.
	Sent int64
	// Chunk is the size of the chunks of a chunked body. Piece is how many bytes are written at once; 0 for a suitable
	// number.
	Chunk, Piece int
	// Unended: a chunked body has no last chunk, and its last chunk lacks a byte.
	Unended bool
	// Unread: the caller doesn't read the answer.
	Unread bool
}

// Crowd is a number of callers that don't behave. Each sends its upload and keeps its connection open for as long as
// the other end does; then it connects again.
type Crowd struct {
	addr    string
	upload  Upload
	cancel  context.CancelFunc
	callers errgroup.Group
	// sent counts the uploads that were sent as configured, answers the answers by the first digit of their status.
	sent    atomic.Int64
	answers [10]atomic.Int64
}

// StartCrowd starts n callers at addr.
func StartCrowd(addr string, n int, upload Upload) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{addr: addr, upload: upload, cancel: cancel}
	for range n {
		c.callers.Go(func() error {
			for ctx.Err() == nil {
				c.connect(ctx)
				select {
				case <-ctx.Done():
				case <-time.After(crowdPause):
				}
			}
			return nil
		})
	}
	return c
}

// Stop closes all connections.
func (c *Crowd) Stop() {
	c.cancel()
	_ = c.callers.Wait()
}

// String describes what became of the uploads.
func (c *Crowd) String() string {
	s := fmt.Sprintf("%d uploads sent", c.sent.Load())
	for digit := range c.answers {
		if n := c.answers[digit].Load(); n > 0 {
			s += fmt.Sprintf(", %d answered %dxx", n, digit)
		}
	}
	return s
}

// connect sends one upload and waits until its connection ends. Whatever fails ends the connection, as the other end
// may do at any moment.
func (c *Crowd) connect(ctx context.Context) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	var reader errgroup.Group
	if !c.upload.Unread {
		reader.Go(func() error {
			c.readAnswers(conn)
			return conn.Close()
		})
	}
	if err := c.upload.write(conn); err == nil {
		c.sent.Add(1)
		if c.upload.Unread {
			<-ctx.Done()
		}
		_ = reader.Wait()
	}
}

// readAnswers reads until the connection ends or an answer says so.
func (c *Crowd) readAnswers(conn net.Conn) {
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	if len(line) > 9 && line[9] >= '0' && line[9] <= '9' {
		c.answers[line[9]-'0'].Add(1)
	}
	_, _ = io.Copy(io.Discard, r)
}

// uploadText is what bodies are made of.
var uploadText = bytes.Repeat([]byte("0123456789abcdef"), 64<<10)

// pieceSize is how many bytes are written at once if Upload names no number.
const pieceSize = 64 << 10

func (u *Upload) write(w io.Writer) error {
	if u.HeadOnly {
		_, err := io.WriteString(w, u.Head)
		return err
	}
	if u.Body != nil {
		head := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", u.Head, len(u.Body))
		if _, err := io.WriteString(w, head); err != nil {
			return err
		}
		_, err := w.Write(u.Body)
		return err
	}
	head := u.Head + "Transfer-Encoding: chunked\r\n\r\n"
	if u.Announced >= 0 {
		head = u.Head + "Content-Length: " + strconv.FormatInt(u.Announced, 10) + "\r\n\r\n"
	}
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	if u.Announced >= 0 {
		return u.writeBytes(w, u.Sent)
	}
	return u.writeChunks(w)
}

// writeBytes writes n bytes of the body.
func (u *Upload) writeBytes(w io.Writer, n int64) error {
	piece := int64(u.Piece)
	if piece == 0 {
		piece = pieceSize
	}
	for n != 0 {
		next := piece
		if n > 0 {
			next = min(next, n)
		}
		if _, err := w.Write(uploadText[:next]); err != nil {
			return err
		}
		if n > 0 {
			n -= next
		}
	}
	return nil
}

var errNoChunk = errors.New("an upload in chunks needs their size")

func (u *Upload) writeChunks(w io.Writer) error {
	if u.Chunk <= 0 {
		return errNoChunk
	}
	buffered := bufio.NewWriterSize(w, pieceSize)
	size := strconv.FormatInt(int64(u.Chunk), 16) + "\r\n"
	for left := u.Sent; left != 0; {
		if _, err := buffered.WriteString(size); err != nil {
			return err
		}
		last := left > 0 && left <= int64(u.Chunk)
		if err := u.writeChunk(buffered, last && u.Unended); err != nil {
			return err
		}
		switch {
		case last:
			left = 0
		case left > 0:
			left -= int64(u.Chunk)
		}
	}
	if !u.Unended {
		if _, err := buffered.WriteString("0\r\n\r\n"); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// writeChunk writes the data of a chunk, without its last byte if it is to remain incomplete.
func (u *Upload) writeChunk(w io.Writer, incomplete bool) error {
	if incomplete {
		return u.writeBytes(w, int64(u.Chunk)-1)
	}
	if err := u.writeBytes(w, int64(u.Chunk)); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}
