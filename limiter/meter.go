package limiter

import (
	"math"
	"time"
)

const (
	meterPeriod = 250 * time.Millisecond // shorter than the time in which a queue should react, long enough for tens of tokens
	meterSpan   = 2 * time.Second
	growth      = 0.5  // times the root of units, units gained in a period
	cut         = 0.9  // of units in a period that is too slow
	busy        = 0.9  // part of units above which throughput shows capacity rather than demand
	usedPart    = 0.05 // of one request in the average of used tokens
)

// meter measures how fast the deployment serves this daemon. It isn't safe for
// concurrent use by itself.
type meter struct {
	units  float64 // units of work that may be in flight
	flight float64 // units in flight
	tokens float64 // tokens in this period, prompt tokens included
	made   float64 // tokens of answers in this period
	held   float64 // unit-seconds in flight in this period
	rate   float64 // tokens per second at full use
	pace   float64 // seconds in flight for one token, prompt tokens included
	step   float64 // seconds in flight for one token of an answer
	used   float64 // used tokens for each estimated one
	start  time.Time
	at     time.Time
	filled bool // units were in full use for the whole period
}

// advance accounts for the time until now. It returns the length of the period
// that it ended, or zero.
func (m *meter) advance(now time.Time, q *Queue) time.Duration {
	if m.start.IsZero() {
		m.units, m.rate, m.used = or(q.Units, DefaultUnits), q.Rate, 1
		m.start, m.at = now, now
	}
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.held += m.flight * elapsed.Seconds()
		m.at = now
	}
	elapsed := now.Sub(m.start)
	if elapsed < meterPeriod {
		return 0
	}
	m.close(elapsed, q)
	m.start, m.tokens, m.filled = now, 0, m.full()
	return elapsed
}

func (m *meter) full() bool { return m.flight >= busy*m.units }

// close ends a period. Throughput while units are unused shows demand, so it
// can only raise the rate.
func (m *meter) close(elapsed time.Duration, q *Queue) {
	rate := m.tokens / elapsed.Seconds()
	part := weight(elapsed, meterSpan)
	switch {
	case m.rate == 0 && m.filled:
		m.rate = rate
	case m.filled || rate > m.rate && m.rate > 0:
		m.rate += part * (rate - m.rate)
	}
	if m.tokens == 0 {
		return
	}
	pace, step := m.held/m.tokens, m.step
	if m.made > 0 {
		step = m.held / m.made
	}
	m.held, m.made = 0, 0
	if m.pace == 0 {
		m.pace = pace
	}
	if m.step == 0 {
		m.step = step
	}
	m.pace += part * (pace - m.pace)
	m.step += part * (step - m.step)
	if q.Pace == 0 {
		return
	}
	if m.step > q.Pace.Seconds() {
		m.units = math.Max(m.units*cut, or(q.Least, 1))
		return
	}
	if m.filled {
		// Growth in proportion would keep the shares of daemons that were
		// unequal once; growth by the root lets them become equal.
		m.units = math.Min(m.units+growth*math.Sqrt(m.units), or(q.Most, math.Inf(1)))
	}
}

// run returns the expected time in flight of a request.
func (m *meter) run(t *Ticket) time.Duration {
	return seconds(m.pace * m.work(t) / t.units())
}

// work returns the tokens that a request is expected to use.
func (m *meter) work(t *Ticket) float64 { return float64(t.Tokens) * m.used }

// fits reports whether a request can start. One that is larger than all units
// can start alone.
func (m *meter) fits(t *Ticket) bool {
	return m.flight == 0 || m.flight+t.units() <= m.units
}

func (m *meter) begin(t *Ticket) { m.flight += t.units() }

func (m *meter) end(t *Ticket, used int) {
	m.flight = math.Max(m.flight-t.units(), 0)
	m.filled = m.filled && m.full()
	if used > 0 && t.Tokens > 0 {
		m.used += usedPart * (float64(used)/float64(t.Tokens) - m.used)
	}
}
