package claimer

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Fold folds the records of one log entry into a partition. The log's time of the
// entry is at; entries are folded in log order from the oldest retained one on.
// It returns the outcomes of this daemon's claims that count though it gave them
// up; they are to be appended, so that resends learn the outcome.
func (c *Claimer) Fold(now time.Time, partition int, at time.Time, records []Record) []Record {
	defer c.lock()()
	t := c.tables[partition]
	var outcomes []Record
	for _, record := range records {
		counts := t.fold(at, record)
		if record.Owner != c.Incarnation {
			continue
		}
		if withdrawal := c.foldOwn(now, record, counts); withdrawal != nil {
			outcomes = append(outcomes, *withdrawal)
		}
	}
	t.expire(now)
	return outcomes
}

// foldOwn settles this daemon's own claim after its record was folded. A claim
// that counts but isn't registered was given up: it is withdrawn.
func (c *Claimer) foldOwn(now time.Time, record Record, counts bool) *Record {
	mine := c.own[record.Claim]
	if record.Kind != KindClaim {
		if mine != nil && mine.stage == stageFinished {
			delete(c.own, record.Claim)
		}
		return nil
	}
	if mine != nil {
		mine.seen = true
		return nil
	}
	if !counts {
		return nil
	}
	send := Send{Claim: record.Claim, Customer: record.Customer, Key: Key{Text: record.Key}}
	return c.withdrawal(now, send)
}

// withdrawal returns the outcome of a claim that counts and is never dispatched.
func (c *Claimer) withdrawal(now time.Time, send Send) *Record {
	record := c.record(KindOutcome, send, now)
	record.Answer = &Answer{Outcome: cowslipproxy.OutcomeRefused, Reason: cowslipproxy.ReasonLogUnavailable, Message: "the claim was confirmed too late"}
	return record
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
