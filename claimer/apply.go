package claimer

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Apply applies the records of one log entry to a partition; at is the entry's
// timestamp in the log. Entries must be applied in log order, beginning with the
// oldest retained one. If claims of this daemon take effect after it abandoned them,
// Apply returns outcome records for them. The caller must append these, so that
// retries learn the outcome.
func (c *Claimer) Apply(now time.Time, partition int, at time.Time, records []Record) []Record {
	defer c.lock()()
	t := c.tables[partition]
	var outcomes []Record
	for _, record := range records {
		inEffect := t.apply(at, record)
		if record.Owner != c.Incarnation {
			continue
		}
		if withdrawal := c.applyLocal(now, record, inEffect); withdrawal != nil {
			outcomes = append(outcomes, *withdrawal)
		}
	}
	t.expire(now)
	return outcomes
}

// applyLocal updates the local claim of a record that was applied. A claim that is
// in effect but not registered was abandoned, so applyLocal returns its withdrawal.
func (c *Claimer) applyLocal(now time.Time, record Record, inEffect bool) *Record {
	local := c.localClaims[record.Claim]
	if record.Kind != KindClaim {
		if local != nil && local.stage == stageFinished {
			delete(c.localClaims, record.Claim)
		}
		return nil
	}
	if local != nil {
		local.applied = true
		return nil
	}
	if !inEffect {
		return nil
	}
	attempt := Attempt{Claim: record.Claim, Customer: record.Customer, Key: Key{Text: record.Key}}
	return c.withdrawalRecord(now, attempt)
}

// withdrawalRecord returns the outcome record of a claim that is in effect but will
// never be dispatched.
func (c *Claimer) withdrawalRecord(now time.Time, attempt Attempt) *Record {
	record := c.record(KindOutcome, attempt, now)
	record.Answer = &Answer{Outcome: cowslipproxy.OutcomeRefused, Reason: cowslipproxy.ReasonLogUnavailable, Message: "the log confirmed the claim too late"}
	return record
}

// Expire frees the memory of keys and claims that are older than the retention.
func (c *Claimer) Expire(now time.Time) {
	defer c.lock()()
	for _, t := range c.tables {
		t.expire(now)
	}
	for id, local := range c.localClaims {
		if local.stage != stageDispatched && now.Sub(local.claimedAt) > c.Retention {
			delete(c.localClaims, id)
		}
	}
}
