package limiter

import "time"

// LongestRetry is the longest Retry-After of an overloaded queue. Shorter ones
// are booked, this one is not: later than that no estimate of the load holds.
const LongestRetry = time.Minute

const (
	bookable     = 0.75            // of the rate; the rest absorbs random arrivals of higher classes
	missedPart   = 0.02            // of one booking in the average of missed ones
	mostBookings = 1024            // in each class
	grace        = 2 * time.Second // callers round Retry-After up to whole seconds
)

// key recognises a refused request that comes again.
type key struct {
	customer string
	content  uint64
}

func (t *Ticket) key() key { return key{t.Customer.Name, t.Content} }

// booking is work that was refused and told when to come again. Until then new
// requests queue behind it; without that, new arrivals would take the place of
// those that waited as they were told. Requests that don't come must not hold
// capacity back, so that bookings count by the part that comes, and not at all
// while nothing waits in the class.
type booking struct {
	due  time.Time
	work float64
}

func (l *line) book(k key, b booking) bool {
	l.cancel(k)
	if len(l.order) >= mostBookings {
		return false
	}
	if l.bookings == nil {
		l.bookings = map[key]booking{}
	}
	l.bookings[k] = b
	l.order = append(l.order, k)
	l.booked += b.work
	l.last = b.due
	return true
}

// due reports whether the request comes as it was told.
func (l *line) due(now time.Time, t *Ticket) bool {
	b, ok := l.bookings[t.key()]
	return ok && !now.Before(b.due)
}

// expected returns the booked work that is likely to come.
func (l *line) expected() float64 { return l.booked * (1 - l.missed) }

// arrive ends the booking of a request that came.
func (l *line) arrive(k key) {
	if l.cancel(k) {
		l.missed -= missedPart * l.missed
	}
}

func (l *line) cancel(k key) bool {
	b, ok := l.bookings[k]
	if !ok {
		return false
	}
	delete(l.bookings, k)
	l.booked -= b.work
	if len(l.bookings) == 0 {
		l.booked, l.order = 0, nil
	}
	return true
}

// forget drops the bookings of requests that didn't come.
func (l *line) forget(now time.Time) {
	for len(l.order) > 0 {
		k := l.order[0]
		if b, ok := l.bookings[k]; ok {
			if now.Before(b.due.Add(grace)) {
				return
			}
			l.cancel(k)
			l.missed += missedPart * (1 - l.missed)
		}
		if len(l.order) > 0 {
			l.order = l.order[1:]
		}
	}
}
