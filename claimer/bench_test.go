package claimer_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/claimer"
)

// newFilledClaimer returns a claimer with the given number of finished plain keys.
func newFilledClaimer(keys int) *claimer.Claimer {
	c := &claimer.Claimer{Incarnation: "d1", Partitions: 1, MaxKeys: 1 << 30}
	for i := range keys {
		c.Apply(epoch, 0, epoch, completedRecords(fmt.Sprint("filled-", i)))
	}
	return c
}

// completedRecords returns the claim and outcome records of a completed attempt, after
// a round trip through the encoding of log entries.
func completedRecords(key string) []claimer.Record {
	claim := claimer.Record{Kind: claimer.KindClaim, Key: key, Customer: "oyo", Owner: "d2", Claim: "c-" + key, Digest: claimer.Digest("POST", "/fees", []byte(key), -1), Time: epoch}
	outcome := claim
	outcome.Kind, outcome.Answer = claimer.KindOutcome, &claimer.Answer{Outcome: cowslipproxy.OutcomeDone, Status: 201}
	var entry [][]byte
	for _, record := range []claimer.Record{claim, outcome} {
		data, err := claimer.Encode(record)
		if err != nil {
			panic(err) // the records differ in their key only, so encoding can't fail
		}
		entry = append(entry, data)
	}
	records, err := claimer.Decode(claimer.Join(entry))
	if err != nil {
		panic(err)
	}
	return records
}

// BenchmarkClaim measures all steps for one plain key: Begin, Apply of the claim,
// Resolve, Finish and Apply of the outcome, without encoding and without a log.
func BenchmarkClaim(b *testing.B) {
	for _, keys := range []int{1_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			var c *claimer.Claimer
			digest := claimer.Digest("POST", "/fees", nil, 0)
			for i := 0; b.Loop(); i++ {
				if i%(keys/2) == 0 { // keeps the number of remembered keys near the nominal one
					b.StopTimer()
					c = newFilledClaimer(keys)
					b.StartTimer()
				}
				key := fmt.Sprint("key-", i)
				attempt := claimer.Attempt{Claim: key, Customer: "oyo", Key: claimer.Key{Text: key}, Digest: digest}
				d := c.Begin(epoch, attempt)
				c.Apply(epoch, 0, epoch, []claimer.Record{*d.Record})
				if c.Resolve(epoch, attempt).Verdict != claimer.VerdictDispatch {
					b.Fatal("the claim was not dispatched")
				}
				c.Apply(epoch, 0, epoch, []claimer.Record{*c.Finish(epoch, attempt, claimer.Answer{Outcome: cowslipproxy.OutcomeDone})})
			}
		})
	}
}

// BenchmarkResend measures Begin for a key with a recorded outcome.
func BenchmarkResend(b *testing.B) {
	for _, keys := range []int{1_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			c := newFilledClaimer(keys)
			attempts := make([]claimer.Attempt, 1000)
			for i := range attempts {
				key := fmt.Sprint("filled-", i)
				attempts[i] = claimer.Attempt{Claim: "x", Customer: "oyo", Key: claimer.Key{Text: key}, Digest: claimer.Digest("POST", "/fees", []byte(key), -1)}
			}
			for i := 0; b.Loop(); i++ {
				if c.Begin(epoch, attempts[i%len(attempts)]).Verdict != claimer.VerdictAnswer {
					b.Fatal("the recorded answer was not returned")
				}
			}
		})
	}
}

// BenchmarkMemory measures the memory used per remembered key.
func BenchmarkMemory(b *testing.B) {
	const keys = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newFilledClaimer(keys)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(c)
	}
}
