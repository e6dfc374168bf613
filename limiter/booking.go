package limiter

import "time"

// MaxRetryAfter is the longest Retry-After of an overloaded queue. A request that
// gets it has no booking, since the load cannot be estimated that far ahead.
const MaxRetryAfter = time.Minute

const (
	bookableShare  = 0.75            // share of the class's rate that may be booked; the rest absorbs random arrivals of higher classes
	missedWeight   = 0.02            // weight of one booking in the average of missed bookings
	maxBookings    = 1024            // per class
	retryTolerance = 2 * time.Second // callers round Retry-After up to whole seconds
)

// bookingKey identifies a refused request when it is retried.
type bookingKey struct {
	customer string
	content  uint64
}

func (t *Ticket) bookingKey() bookingKey { return bookingKey{t.Customer.Name, t.Content} }

// booking reserves capacity for a refused request until its Retry-After has
// passed. New requests of the class queue behind the booked work; otherwise they
// would take the capacity of callers that respect Retry-After. Bookings that are
// never used must not hold capacity back: booked work counts in proportion to the
// share of bookings that are used, and not at all while no request of the class
// waits.
type booking struct {
	due  time.Time
	work float64
}

// addBooking adds or replaces a booking, and reports false if there are too many.
func (c *classQueue) addBooking(k bookingKey, b booking) bool {
	c.removeBooking(k)
	if len(c.order) >= maxBookings {
		return false
	}
	if c.bookings == nil {
		c.bookings = map[bookingKey]booking{}
	}
	c.bookings[k] = b
	c.order = append(c.order, k)
	c.bookedWork += b.work
	c.lastDue = b.due
	return true
}

// hasDueBooking reports whether the request has a booking whose Retry-After has passed.
func (c *classQueue) hasDueBooking(now time.Time, t *Ticket) bool {
	b, ok := c.bookings[t.bookingKey()]
	return ok && !now.Before(b.due)
}

// expectedBookedWork returns the booked work whose requests are likely to be retried.
func (c *classQueue) expectedBookedWork() float64 { return c.bookedWork * (1 - c.missedShare) }

// useBooking ends the booking of a request that was retried.
func (c *classQueue) useBooking(k bookingKey) {
	if c.removeBooking(k) {
		c.missedShare -= missedWeight * c.missedShare
	}
}

func (c *classQueue) removeBooking(k bookingKey) bool {
	b, ok := c.bookings[k]
	if !ok {
		return false
	}
	delete(c.bookings, k)
	c.bookedWork -= b.work
	if len(c.bookings) == 0 {
		c.bookedWork, c.order = 0, nil
	}
	return true
}

// expireBookings removes the bookings of requests that were not retried in time.
func (c *classQueue) expireBookings(now time.Time) {
	for len(c.order) > 0 {
		k := c.order[0]
		if b, ok := c.bookings[k]; ok {
			if now.Before(b.due.Add(retryTolerance)) {
				return
			}
			c.removeBooking(k)
			c.missedShare += missedWeight * (1 - c.missedShare)
		}
		if len(c.order) > 0 {
			c.order = c.order[1:]
		}
	}
}
