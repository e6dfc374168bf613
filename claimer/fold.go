package claimer

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Fold folds the records of one log entry into a partition. The log's time of the
// entry is at; entries are folded in log order from the oldest retained one on.
// It returns the closes of this daemon's claims that count though it gave them
// up; they are to be appended, so that resends learn the outcome.
func (c *Claimer) Fold(now time.Time, partition int, at time.Time, records []Record) []Record {
	defer c.lock()()
	t := c.tables[partition]
	var closes []Record
	for _, record := range records {
		if record.Owner == c.Incarnation && record.Kind == KindClaim {
			if mine := c.own[record.Claim]; mine != nil {
				mine.seen = true
			}
		}
		t.fold(at, record)
		if closing := c.after(now, t, record); closing != nil {
			closes = append(closes, *closing)
		}
	}
	t.expire(now)
	return closes
}

// after settles this daemon's own claim after its record was folded.
func (c *Claimer) after(now time.Time, t *table, record Record) *Record {
	if record.Owner != c.Incarnation {
		return nil
	}
	mine := c.own[record.Claim]
	if record.Kind != KindClaim {
		if mine != nil && mine.stage != stagePending && mine.stage != stageDispatched {
			delete(c.own, record.Claim)
		}
		return nil
	}
	send := Send{Claim: record.Claim, Customer: record.Customer, Key: Key{Text: record.Key}}
	s := t.find(send, now)
	if s == nil || s.claim != record.Claim || s.answer != nil {
		return nil
	}
	if mine == nil || mine.stage == stageGivenUp {
		return c.closing(now, send, cowslipproxy.ReasonLogUnavailable)
	}
	return nil
}

// Expire frees the memory of keys that are past the retention.
func (c *Claimer) Expire(now time.Time) {
	defer c.lock()()
	for _, t := range c.tables {
		t.expire(now)
	}
	for id, mine := range c.own {
		if mine.stage != stageDispatched && now.Sub(mine.since) > c.Retention {
			delete(c.own, id)
		}
	}
}
