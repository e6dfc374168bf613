package allocator_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy/allocator"
)

const kilobyte = 1 << 10

// Guards against messages without end that displace smaller ones.
func TestLargestMessageMakesRoom(t *testing.T) {
	memory := &allocator.Allocator{Limit: 100 * kilobyte}
	var dropped []string
	open := func(name string) (l *allocator.Allocation) {
		l = memory.Open(func() { dropped = append(dropped, name); l.Release() })
		return l
	}
	large, other := open("large"), open("other")
	require.NoError(t, large.Resize(60*kilobyte))
	require.NoError(t, other.Resize(30*kilobyte))
	require.ErrorIs(t, large.Resize(80*kilobyte), allocator.ErrExhausted)
	require.Empty(t, dropped)
	require.NoError(t, other.Resize(50*kilobyte))
	require.Equal(t, []string{"large"}, dropped)
	require.ErrorIs(t, large.Resize(20*kilobyte), allocator.ErrExhausted)
	require.EqualValues(t, 50*kilobyte, memory.Used())
	other.Release()
	require.Zero(t, memory.Used())
}

// Guards against memory that is used twice, because a dropped message holds it until its receipt has ended.
func TestMessageWaitsForMemoryOfDroppedOne(t *testing.T) {
	memory := &allocator.Allocator{Limit: 100 * kilobyte}
	ended := make(chan struct{})
	dropped, next := memory.Open(func() { close(ended) }), memory.Open(nil)
	require.NoError(t, dropped.Resize(90*kilobyte))
	resized := make(chan error)
	go func() { resized <- next.Resize(50 * kilobyte) }()
	<-ended
	require.EqualValues(t, 90*kilobyte, memory.Used())
	require.Empty(t, resized)
	dropped.Release()
	require.NoError(t, <-resized)
	require.EqualValues(t, 50*kilobyte, memory.Used())
}

// Guards against dropping a message that is in use, such as the body of a request.
func TestMessageWithoutDropIsKept(t *testing.T) {
	memory := &allocator.Allocator{Limit: 100 * kilobyte}
	kept, next := memory.Open(nil), memory.Open(func() {})
	require.NoError(t, kept.Resize(90*kilobyte))
	require.ErrorIs(t, next.Resize(20*kilobyte), allocator.ErrExhausted)
	require.NoError(t, next.Resize(2*kilobyte)) // small messages always fit
	require.EqualValues(t, 90*kilobyte, memory.Used())
}

// Guards against memory in use beyond the limit, and against memory that is not freed.
func TestUsedMemoryStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := &allocator.Allocator{Limit: 200 * kilobyte}
		var open []*allocator.Allocation
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(open) == 0 || rapid.Bool().Draw(t, "open") {
				var opened *allocator.Allocation
				opened = memory.Open(func() { opened.Release() })
				open = append(open, opened)
			}
			l := open[rapid.IntRange(0, len(open)-1).Draw(t, "message")]
			if rapid.IntRange(0, 4).Draw(t, "release") == 0 {
				l.Release()
			} else if err := l.Resize(int64(rapid.IntRange(0, 300).Draw(t, "size")) * kilobyte); err != nil {
				require.ErrorIs(t, err, allocator.ErrExhausted)
			}
			require.LessOrEqual(t, memory.Used(), memory.Limit)
		}
		for _, l := range open {
			l.Release()
		}
		require.Zero(t, memory.Used())
	})
}

// Guards against messages that are truncated at their limit or read beyond it.
func TestMessagesAreReadWholeOrNotAtAll(t *testing.T) {
	memory := &allocator.Allocator{Limit: 1 << 20}
	for _, size := range []int{0, 1, 4 * kilobyte, 4*kilobyte + 1, 20 * kilobyte, 20*kilobyte + 1, 100 * kilobyte} {
		want := bytes.Repeat([]byte("x"), size)
		for _, source := range []io.Reader{iotest.HalfReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want)), iotest.OneByteReader(bytes.NewReader(want)), bytes.NewReader(want)} {
			l := memory.Open(nil)
			got, err := l.ReadAll(source, int64(size))
			require.NoError(t, err)
			require.Equal(t, want, got)
			l.Release()
		}
		if size > 0 {
			_, err := memory.Open(nil).ReadAll(bytes.NewReader(want), int64(size-1))
			require.ErrorIs(t, err, allocator.ErrTooLarge)
		}
	}
	l := memory.Open(nil)
	defer l.Release()
	_, err := l.ReadAll(endless{}, 1<<40)
	require.ErrorIs(t, err, allocator.ErrExhausted)
	_, err = memory.Open(nil).ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 1)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// endless is a message without end.
type endless struct{}

func (endless) Read(data []byte) (int, error) { return len(data), nil }
