package limiter

import (
	"math"
	"time"
)

const (
	meterPeriod  = 250 * time.Millisecond // shorter than the reaction time of a queue, long enough for tens of tokens
	meterSpan    = 2 * time.Second        // time constant of the rate and of the times per token
	unitGrowth   = 0.5                    // units added per period, as a multiple of the square root of the units
	unitDecrease = 0.9                    // factor on the units after a period that exceeds MaxTokenTime
	busyShare    = 0.9                    // share of units in use from which on throughput measures capacity, not demand
	usedWeight   = 0.05                   // weight of one request in usedRatio
)

// meter measures the rate at which the deployment serves this daemon, and adjusts
// the limit of the units in flight. It is not safe for concurrent use.
type meter struct {
	units           float64   // limit of the units in flight
	inFlight        float64   // units in flight
	tokens          float64   // tokens in the current period, including prompt tokens
	outputTokens    float64   // output tokens since the last update of the times per token
	unitSeconds     float64   // unit-seconds in flight since the last update of the times per token
	rate            float64   // tokens per second under full load
	tokenTime       float64   // seconds in flight per token, including prompt tokens
	outputTokenTime float64   // seconds in flight per output token
	usedRatio       float64   // used tokens per estimated token, averaged
	start           time.Time // of the current period
	at              time.Time // of the last call of advance
	warmUp          warmUp
	alwaysFull      bool // the units were busy throughout the period
}

// warmUp accumulates what is measured until it spans meterSpan. The rate and the times per
// token are unknown before that: a single period may contain the computation of prompts and
// few tokens.
type warmUp struct {
	served       time.Duration // time of the periods with tokens
	full         time.Duration // time of the periods in which the units were busy
	fullTokens   float64       // tokens in these periods
	tokens       float64
	outputTokens float64
	unitSeconds  float64
}

// advance accounts for the time up to now. It returns the length of the period
// that has ended, or zero.
func (m *meter) advance(now time.Time, q *Queue) time.Duration {
	if m.start.IsZero() {
		m.units, m.rate, m.usedRatio = orDefault(q.Units, DefaultUnits), q.Rate, 1
		m.start, m.at = now, now
	}
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.unitSeconds += m.inFlight * elapsed.Seconds()
		m.at = now
	}
	elapsed := now.Sub(m.start)
	if elapsed < meterPeriod {
		return 0
	}
	m.endPeriod(elapsed, q)
	m.start, m.tokens, m.alwaysFull = now, 0, m.full()
	return elapsed
}

func (m *meter) full() bool { return m.inFlight >= busyShare*m.units }

// endPeriod ends a period: it updates the rate, the times per token and the limit
// of the units. While units are unused, throughput measures demand and not capacity,
// so it can only raise the rate.
func (m *meter) endPeriod(elapsed time.Duration, q *Queue) {
	rate := m.tokens / elapsed.Seconds()
	weight := ewmaWeight(elapsed, meterSpan)
	switch {
	case m.rate == 0 && m.alwaysFull:
		m.rate = m.warmUp.addFull(elapsed, m.tokens)
	case m.rate > 0 && (m.alwaysFull || rate > m.rate):
		m.rate += weight * (rate - m.rate)
	}
	if m.tokens == 0 {
		return
	}
	tokenTime, outputTokenTime := m.unitSeconds/m.tokens, m.outputTokenTime
	if m.outputTokens > 0 {
		outputTokenTime = m.unitSeconds / m.outputTokens
	}
	if m.tokenTime == 0 {
		tokenTime, outputTokenTime = m.warmUp.addTokens(elapsed, m.tokens, m.outputTokens, m.unitSeconds)
	}
	m.unitSeconds, m.outputTokens = 0, 0
	if tokenTime == 0 {
		return
	}
	if m.tokenTime == 0 {
		m.tokenTime = tokenTime
	}
	if m.outputTokenTime == 0 {
		m.outputTokenTime = outputTokenTime
	}
	m.tokenTime += weight * (tokenTime - m.tokenTime)
	m.outputTokenTime += weight * (outputTokenTime - m.outputTokenTime)
	if q.MaxTokenTime == 0 {
		return
	}
	if m.outputTokenTime > q.MaxTokenTime.Seconds() {
		m.units = math.Max(m.units*unitDecrease, orDefault(q.MinUnits, 1))
		return
	}
	if m.alwaysFull {
		// Proportional growth would preserve unequal shares between daemons;
		// growth by the square root lets them converge.
		m.units = math.Min(m.units+unitGrowth*math.Sqrt(m.units), orDefault(q.MaxUnits, math.Inf(1)))
	}
}

// addFull adds a period in which the units were busy. It returns the rate, or zero while it
// is unknown.
func (w *warmUp) addFull(elapsed time.Duration, tokens float64) float64 {
	w.full += elapsed
	w.fullTokens += tokens
	if w.full < meterSpan {
		return 0
	}
	return w.fullTokens / w.full.Seconds()
}

// addTokens adds a period with tokens. It returns the times per token, or zero while they
// are unknown.
func (w *warmUp) addTokens(elapsed time.Duration, tokens, outputTokens, unitSeconds float64) (tokenTime, outputTokenTime float64) {
	w.served += elapsed
	w.tokens += tokens
	w.outputTokens += outputTokens
	w.unitSeconds += unitSeconds
	if w.served < meterSpan {
		return 0, 0
	}
	if w.outputTokens > 0 {
		outputTokenTime = w.unitSeconds / w.outputTokens
	}
	return w.unitSeconds / w.tokens, outputTokenTime
}

// runTime returns the expected time in flight of a request.
func (m *meter) runTime(t *Ticket) time.Duration {
	return seconds(m.tokenTime * m.work(t) / t.units())
}

// work returns the number of tokens that a request is expected to use.
func (m *meter) work(t *Ticket) float64 { return float64(t.Tokens) * m.usedRatio }

// fits reports whether a request can start. A request that exceeds the limit can
// start if nothing else is in flight.
func (m *meter) fits(t *Ticket) bool {
	return m.inFlight == 0 || m.inFlight+t.units() <= m.units
}

func (m *meter) begin(t *Ticket) { m.inFlight += t.units() }

func (m *meter) end(t *Ticket, used int) {
	m.inFlight = math.Max(m.inFlight-t.units(), 0)
	m.alwaysFull = m.alwaysFull && m.full()
	if used > 0 && t.Tokens > 0 {
		m.usedRatio += usedWeight * (float64(used)/float64(t.Tokens) - m.usedRatio)
	}
}
