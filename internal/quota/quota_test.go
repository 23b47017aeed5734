package quota

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const mib = 1 << 20

// caller is a caller of a test, with what happened to its connection.
type caller struct {
	*Conn
	stoppedReading, stoppedWriting, closed bool
}

func open(t require.TestingT, a *Account, now time.Time) *caller {
	c := &caller{}
	entry, freed := a.Open(now, Hooks{
		StopReading: func() { c.stoppedReading = true },
		StopWriting: func() { c.stoppedWriting = true },
		Close:       func() { c.closed = true },
	})
	require.Nil(t, freed)
	c.Conn = entry
	return c
}

// upload receives n bytes of the caller's body, or as many as there is room for.
func (c *caller) upload(now time.Time, n int64) error {
	if err := c.beginBody(now, -1); err != nil {
		return err
	}
	return c.uploadMore(now, n)
}

func (c *caller) uploadMore(now time.Time, n int64) error {
	for ; n > 0; n -= blockSize {
		if err := c.addBlock(now, make([]byte, blockSize), 1); err != nil {
			return c.endBody(now, err)
		}
	}
	return nil
}

var start = time.Unix(1_700_000_000, 0)

// Guards against bodies that all arrive in part and none of which is completed.
func TestFirstBodiesAreCompleted(t *testing.T) {
	a := New(Config{Bytes: 16 * mib, Connections: 100})
	var callers []*caller
	for i := range 10 {
		c := open(t, a, start)
		require.NoError(t, c.beginBody(start.Add(time.Duration(i)), 4*mib))
		callers = append(callers, c)
	}
	now, errs := start, make([]error, len(callers))
	for range 4 * mib / blockSize {
		now = now.Add(time.Millisecond)
		for i, c := range callers {
			if errs[i] == nil {
				errs[i] = c.uploadMore(now, blockSize)
			}
		}
		require.LessOrEqual(t, a.Usage().Bytes, int64(8*mib))
	}
	require.NoError(t, errs[0])
	require.NoError(t, errs[1])
	require.Equal(t, ErrGivenUp, errs[9])
}

// Guards against large bodies that leave no room for small ones and for answers.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	a := New(Config{Bytes: 16 * mib, Connections: 100})
	for range 2 {
		c := open(t, a, start)
		require.NoError(t, c.upload(start, 4*mib))
		_, err := c.completeBody(start)
		require.NoError(t, err)
	}
	require.Equal(t, ErrNoRoom, open(t, a, start).upload(start, 4*mib))
	require.Equal(t, ErrNoRoom, open(t, a, start).beginBody(start, 4*mib), "known when it is announced")
	require.NoError(t, open(t, a, start).upload(start, SmallBody))
	require.NoError(t, open(t, a, start).takeAnswer(t.Context(), 7*mib))
}

// Guards against callers who stop short of the end of their bodies and keep others out.
func TestStalledBodyIsGivenUp(t *testing.T) {
	a := New(Config{Bytes: 16 * mib, Connections: 100})
	stalled, slow, next := open(t, a, start), open(t, a, start), open(t, a, start)
	require.NoError(t, stalled.upload(start, 4*mib))
	require.NoError(t, slow.upload(start, 3*mib))
	now := start.Add(StallTime)
	require.NoError(t, slow.uploadMore(now, blockSize))
	require.NoError(t, next.beginBody(now, 4*mib))
	require.NoError(t, next.uploadMore(now, 4*mib))
	require.True(t, stalled.stoppedReading)
	require.False(t, slow.stoppedReading)
	require.Equal(t, ErrGivenUp, stalled.endBody(now, io.ErrUnexpectedEOF))
}

// Guards against callers who never read their answers and keep out those of others.
func TestUnreadAnswerIsGivenUp(t *testing.T) {
	a := New(Config{Bytes: 16 * mib, Connections: 100})
	unread, next := open(t, a, start), open(t, a, start)
	require.NoError(t, unread.takeAnswer(t.Context(), 12*mib))
	require.NoError(t, unread.Send(start))
	freed, err := a.tryKeep(start.Add(StallTime/2), next.Conn, 8*mib)
	require.NoError(t, err)
	require.NotNil(t, freed)
	require.False(t, unread.stoppedWriting)

	again, err := a.tryKeep(start.Add(StallTime), next.Conn, 8*mib)
	require.NoError(t, err)
	require.Equal(t, freed, again, "the answer isn't freed yet")
	require.True(t, unread.stoppedWriting)
	require.Equal(t, ErrGivenUp, unread.Send(start.Add(StallTime)))
	unread.releaseAnswer(12 * mib)
	<-freed
	none, err := a.tryKeep(start.Add(StallTime), next.Conn, 8*mib)
	require.NoError(t, err)
	require.Nil(t, none)
}

// Guards against connections that wait for their callers and keep others out, and against an end of those that wait for
// this system.
func TestStalledConnectionIsClosed(t *testing.T) {
	a := New(Config{Bytes: mib, Connections: 3})
	served, idle, sends := open(t, a, start), open(t, a, start), open(t, a, start)
	require.NoError(t, served.BeginRequest(start, 10, false))
	require.NoError(t, sends.upload(start, blockSize))
	_, freed := a.Open(start, Hooks{})
	require.NotNil(t, freed)
	next := open(t, a, start.Add(HeadStallTime))
	require.True(t, idle.closed)
	require.False(t, sends.closed)
	require.NoError(t, next.BeginRequest(start.Add(HeadStallTime), 10, false))
	open(t, a, start.Add(StallTime))
	require.True(t, sends.closed)
	require.False(t, served.closed)
	served.Close()
	<-freed
	require.Equal(t, 2, a.Usage().Connections)
	require.Zero(t, a.Usage().Bytes)
}

// Guards against callers who keep a connection for good because they never send the rest of a refused body.
func TestUnreadRestIsGivenUp(t *testing.T) {
	a := New(Config{Bytes: mib, Connections: 2})
	refused, received := open(t, a, start), open(t, a, start)
	require.NoError(t, refused.BeginRequest(start, 10, true))
	require.NoError(t, received.BeginRequest(start, 10, true))
	require.NoError(t, received.upload(start, blockSize))
	_, err := received.completeBody(start)
	require.NoError(t, err)
	require.True(t, refused.EndRequest(start))
	require.False(t, received.EndRequest(start))
	open(t, a, start.Add(StallTime))
	require.True(t, refused.closed)
	require.False(t, received.closed)
}

// Guards against headers whose many fields take room that nobody accounts for.
func TestHeadersTakeRoom(t *testing.T) {
	a := New(Config{Bytes: mib, Connections: 100})
	c := open(t, a, start)
	require.NoError(t, c.ReadHead(start, headAllowance))
	require.Zero(t, a.Usage().Bytes)
	require.NoError(t, c.ReadHead(start, 8<<10))
	require.EqualValues(t, 256<<10, a.Usage().Bytes)
	require.NoError(t, c.BeginRequest(start, FieldAllowance+10, false))
	require.EqualValues(t, 10*fieldBytes, a.Usage().Bytes)
	require.NoError(t, c.ReadHead(start, mib), "it isn't a header")
	require.False(t, c.EndRequest(start))
	require.Zero(t, a.Usage().Bytes)
	c.AwaitRequest(start)
	require.Equal(t, ErrNoRoom, c.ReadHead(start, 40<<10))
	require.Equal(t, ErrNoRoom, c.BeginRequest(start, 4000, false))
}

// Guards against a stop that waits for callers who make no progress.
func TestStalledRequestsAreGivenUpForAStop(t *testing.T) {
	a := New(Config{Bytes: 16 * mib, Connections: 100})
	stalled, slow, served := open(t, a, start), open(t, a, start), open(t, a, start)
	require.NoError(t, stalled.upload(start, blockSize))
	require.NoError(t, slow.upload(start.Add(StallTime), blockSize))
	require.NoError(t, served.BeginRequest(start, 10, false))
	a.GiveUpStalled(start.Add(StallTime))
	require.True(t, stalled.stoppedReading)
	require.False(t, slow.stoppedReading || served.stoppedReading || served.closed)
}

// Guards against room that is lost, or given back twice, whatever callers do.
func TestRoomIsGivenBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{Bytes: 4 * mib, Connections: 8}
		a := New(cfg)
		now := start
		var callers []*caller
		answers := map[*caller]int64{}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause")) * time.Millisecond)
			if len(callers) == 0 || rapid.IntRange(0, 4).Draw(rt, "opens") == 0 {
				c := &caller{}
				entry, freed := a.Open(now, Hooks{
					StopReading: func() { c.stoppedReading = true }, StopWriting: func() { c.stoppedWriting = true }, Close: func() { c.closed = true },
				})
				if freed == nil {
					c.Conn = entry
					callers = append(callers, c)
				}
				continue
			}
			c := rapid.SampledFrom(callers).Draw(rt, "caller")
			switch rapid.IntRange(0, 7).Draw(rt, "does") {
			case 0:
				_ = c.upload(now, rapid.Int64Range(1, 2*mib).Draw(rt, "bytes"))
			case 1:
				_ = c.uploadMore(now, rapid.Int64Range(1, mib).Draw(rt, "bytes"))
			case 2:
				n := rapid.Int64Range(1, 2*mib).Draw(rt, "bytes")
				if freed, err := a.tryKeep(now, c.Conn, n); freed == nil && err == nil {
					answers[c] += n
				}
			case 3:
				_ = c.Send(now)
			case 4:
				c.releaseAnswer(answers[c])
				delete(answers, c)
				c.releaseBody()
			case 5:
				_ = c.ReadHead(now, rapid.IntRange(1, 16<<10).Draw(rt, "bytes"))
				_ = c.BeginRequest(now, rapid.IntRange(1, 1000).Draw(rt, "fields"), rapid.Bool().Draw(rt, "has a body"))
			case 6:
				a.GiveUpStalled(now)
			case 7:
				_ = c.EndRequest(now)
			}
			u := a.Usage()
			require.LessOrEqual(rt, u.Bytes-a.ending, cfg.Bytes)
			require.LessOrEqual(rt, u.Connections, cfg.Connections)
			require.GreaterOrEqual(rt, a.ending, int64(0))
			require.LessOrEqual(rt, a.large, a.used)
		}
		for _, c := range callers {
			c.releaseAnswer(answers[c])
			c.Close()
		}
		require.Zero(rt, a.Usage().Bytes)
		require.Zero(rt, a.Usage().Connections)
		require.Zero(rt, a.large)
		require.Zero(rt, a.ending)
	})
}

// Guards against bodies and answers that aren't received as they were sent.
func TestReceivedBodies(t *testing.T) {
	for _, size := range []int64{0, 1, firstBlock, blockSize, blockSize + 1, 3 * answerBlock, mib + 5} {
		text := bytes.Repeat([]byte("0123456789"), int(size/10)+1)[:size]
		for _, announced := range []int64{size, -1} {
			c := open(t, New(Config{Bytes: 16 * mib, Connections: 1}), start)
			spec := Spec{Announced: announced, Limit: 2 * mib}
			body, err := c.ReceiveBody(iotest.HalfReader(bytes.NewReader(text)), spec)
			require.NoError(t, err)
			answer, err := c.ReceiveAnswer(t.Context(), bytes.NewReader(text), spec)
			require.NoError(t, err)
			for _, b := range []*Body{body, answer} {
				require.Equal(t, size, b.Size())
				require.True(t, bytes.Equal(text, b.Bytes()))
				got, err := io.ReadAll(b.Reader())
				require.NoError(t, err)
				require.True(t, bytes.Equal(text, got))
			}
			var sent bytes.Buffer
			require.NoError(t, answer.Send(&sent))
			require.True(t, bytes.Equal(text, sent.Bytes()))
			body.Release()
			answer.Release()
			require.Zero(t, c.account.Usage().Bytes)
		}
	}
}

// Guards against a body whose memory is used for another one while a connection to a server still reads it.
func TestReadBodyIsNotReused(t *testing.T) {
	for _, size := range []int{blockSize, mib} {
		c := open(t, New(Config{Bytes: 16 * mib, Connections: 1}), start)
		text := bytes.Repeat([]byte("a"), size)
		body, err := c.ReceiveBody(bytes.NewReader(text), Spec{Announced: int64(size), Limit: mib})
		require.NoError(t, err)
		r := body.Reader()
		body.Release()
		for range 100 {
			other, err := c.ReceiveBody(bytes.NewReader(bytes.Repeat([]byte("b"), mib)), Spec{Announced: mib, Limit: mib})
			require.NoError(t, err)
			other.Release()
		}
		got, err := io.ReadAll(r)
		require.NoError(t, err)
		require.True(t, bytes.Equal(text, got))
	}
}

func TestBodiesThatAreNotReceived(t *testing.T) {
	c := open(t, New(Config{Bytes: 4 * mib, Connections: 1}), start)
	zeros := func(n int64) io.Reader { return bytes.NewReader(make([]byte, n)) }
	for _, tc := range []struct {
		r    io.Reader
		spec Spec
		want error
	}{
		{zeros(0), Spec{Announced: 2 * mib, Limit: mib}, ErrTooLarge},
		{zeros(mib + 1), Spec{Announced: -1, Limit: mib}, ErrTooLarge},
		{zeros(4 * mib), Spec{Announced: 4 * mib, Limit: 8 * mib}, ErrNoRoom},
		{zeros(4 * mib), Spec{Announced: -1, Limit: 8 * mib}, ErrNoRoom},
		{zeros(mib), Spec{Announced: mib, Limit: mib, Weight: 4}, ErrNoRoom},
		{io.MultiReader(zeros(10), iotest.ErrReader(io.ErrUnexpectedEOF)), Spec{Announced: 20, Limit: mib}, io.ErrUnexpectedEOF},
	} {
		_, err := c.ReceiveBody(tc.r, tc.spec)
		require.ErrorIs(t, err, tc.want)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, c.takeAnswer(t.Context(), 3*mib))
	_, err := c.ReceiveAnswer(ctx, zeros(2*mib), Spec{Announced: 2 * mib, Limit: 2 * mib})
	require.ErrorIs(t, err, ErrNoRoom)
	_, err = c.ReceiveAnswer(ctx, zeros(2*mib), Spec{Announced: -1, Limit: 2 * mib})
	require.ErrorIs(t, err, ErrNoRoom)
	c.releaseAnswer(3 * mib)
	require.Zero(t, c.account.Usage().Bytes)
}

// Guards against limits that a single request of the largest size meets on the smallest VM, and against limits beyond
// those of the machine.
func TestBudget(t *testing.T) {
	const connections = 10000
	for _, tc := range []struct {
		machine    Machine
		most, want Config
	}{
		{Machine{Memory: 144e6, Descriptors: 3075}, Config{256e6, connections}, Config{24_480_000, 747}},
		{Machine{Memory: 284e6, Descriptors: 4100}, Config{256e6, connections}, Config{48_280_000, 1473}},
		{Machine{Memory: 536e6, Descriptors: 8192}, Config{256e6, connections}, Config{91_120_000, 2780}},
		{Machine{Memory: 536e6, Descriptors: 256}, Config{256e6, connections}, Config{91_120_000, 96}},
		{Machine{Memory: 536e6}, Config{50e6, 50}, Config{50_000_000, 50}},
		{Machine{Memory: 536e6, RuntimeMemory: 100e6}, Config{256e6, connections}, Config{20_000_000, 610}},
		{Machine{Descriptors: 20}, Config{256e6, connections}, Config{256_000_000, 1}},
		{Machine{}, Config{256e6, connections}, Config{256_000_000, connections}},
	} {
		require.Equal(t, tc.want, tc.machine.Budget(tc.most))
	}
	require.Zero(t, Machine{}.RuntimeLimit())
	require.EqualValues(t, 122_400_000, Machine{Memory: 144e6}.RuntimeLimit())
}
