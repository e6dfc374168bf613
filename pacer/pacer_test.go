package pacer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/pacer"
)

const (
	patience  = 2 * time.Second
	step      = 5 * time.Millisecond
	prefill   = 6 * time.Millisecond // of one stream, on the substitutes of all daemons together
	detection = 325 * time.Millisecond
	daemons   = 31
	perDaemon = 12
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// moving is a stream whose engine failed.
type moving struct {
	pacer *pacer.Pacer
	move  *pacer.Move
	begun bool
	left  time.Duration // prefill that is left
	ended time.Time
}

// playFailure lets all streams lose an engine at once. The substitutes share their prefill
// throughput among all streams that were moved. It returns how many continue before their callers
// disconnect.
func playFailure() (continued int) {
	var all []*moving
	now := start.Add(detection)
	for range daemons {
		p := &pacer.Pacer{}
		for range perDaemon {
			m := &moving{pacer: p, left: prefill}
			m.move, m.begun = p.Enter(now, 0, start.Add(patience), func() { m.begun = true })
			all = append(all, m)
		}
	}
	for ; now.Before(start.Add(patience)); now = now.Add(step) {
		var active []*moving
		for _, m := range all {
			if m.begun && m.ended.IsZero() {
				active = append(active, m)
			}
		}
		for _, m := range active {
			if m.left -= step / time.Duration(len(active)); m.left <= 0 {
				m.ended = now
				m.pacer.Continued(now, m.move)
				continued++
			}
		}
	}
	return continued
}

// Guards against streams that all move at once after a failure and slow each other until their
// callers disconnect: of more streams than can be prefilled in time, all that can must continue but
// the one that each daemon moves at the end.
func TestMovesOfManyStreamsEndInTime(t *testing.T) {
	possible := int((patience - detection) / prefill)
	require.Less(t, possible, daemons*perDaemon)
	require.GreaterOrEqual(t, playFailure(), possible-daemons)
}

// Guards against a stream of low priority, or one that can't be saved, that is moved before others.
func TestMostUrgentStreamMovesFirst(t *testing.T) {
	p := &pacer.Pacer{}
	var order []string
	var ends []func()
	admitted := true
	for admitted {
		var move *pacer.Move
		move, admitted = p.Enter(start, 0, start.Add(patience), func() {})
		ends = append(ends, func() { p.Leave(start, move) })
	}
	enter := func(name string, priority int, deadline time.Duration) {
		var move *pacer.Move
		move, admitted = p.Enter(start, priority, start.Add(deadline), func() {
			order = append(order, name)
			ends = append(ends, func() { p.Leave(start, move) })
		})
		require.False(t, admitted)
	}
	enter("hopeless", 0, 50*time.Millisecond)
	enter("low", 2, patience)
	enter("late", 1, patience)
	enter("soon", 1, patience/2)
	ends[len(ends)-1]() // the one that waits
	for i := 0; i < len(ends); i++ {
		ends[i]()
	}
	require.Equal(t, []string{"soon", "late", "low", "hopeless"}, order)
}

// Guards against moves that no longer exist and keep others waiting.
func TestEndedMovesMakeRoom(t *testing.T) {
	p := &pacer.Pacer{}
	for range 100 {
		move, admitted := p.Enter(start, 0, start.Add(patience), func() {})
		require.True(t, admitted)
		p.Continued(start.Add(time.Millisecond), move)
		p.Leave(start.Add(time.Millisecond), move)
	}
	_, active, waiting := p.Limit()
	require.Zero(t, active)
	require.Zero(t, waiting)
}
