package claimer_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/claimer"
)

// fill returns a claimer that remembers so many finished plain keys.
func fill(keys int) *claimer.Claimer {
	c := &claimer.Claimer{Incarnation: "d1", Partitions: 1, Keys: 1 << 30}
	for i := range keys {
		c.Fold(epoch, 0, epoch, claimed(fmt.Sprint("filled-", i)))
	}
	return c
}

// claimed returns the records of a send that ran, as read from the log.
func claimed(key string) []claimer.Record {
	claim := claimer.Record{Kind: claimer.KindClaim, Key: key, Customer: "oyo", Owner: "d2", Claim: "c-" + key, Digest: claimer.Digest("POST", "/fees", []byte(key), -1), Time: epoch}
	outcome := claim
	outcome.Kind, outcome.Answer = claimer.KindOutcome, &claimer.Answer{Outcome: cowslipproxy.OutcomeDone, Status: 201}
	var entry [][]byte
	for _, record := range []claimer.Record{claim, outcome} {
		data, err := claimer.Encode(record)
		if err != nil {
			panic(err) // the records are constant but for the key
		}
		entry = append(entry, data)
	}
	records, err := claimer.Decode(claimer.Join(entry))
	if err != nil {
		panic(err)
	}
	return records
}

// BenchmarkClaim measures all decisions on one plain key: Begin, Fold of the
// claim, Resolve, Finish and Fold of the outcome, without encoding and the log.
func BenchmarkClaim(b *testing.B) {
	for _, keys := range []int{1_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			var c *claimer.Claimer
			digest := claimer.Digest("POST", "/fees", nil, 0)
			for i := 0; b.Loop(); i++ {
				if i%(keys/2) == 0 { // keeps the number of remembered keys near the stated one
					b.StopTimer()
					c = fill(keys)
					b.StartTimer()
				}
				key := fmt.Sprint("key-", i)
				s := claimer.Send{Claim: key, Customer: "oyo", Key: claimer.Key{Text: key}, Digest: digest}
				d := c.Begin(epoch, s)
				c.Fold(epoch, 0, epoch, []claimer.Record{*d.Record})
				if c.Resolve(epoch, s).Verdict != claimer.VerdictDispatch {
					b.Fatal("not dispatched")
				}
				c.Fold(epoch, 0, epoch, []claimer.Record{*c.Finish(epoch, s, claimer.Answer{Outcome: cowslipproxy.OutcomeDone})})
			}
		})
	}
}

// BenchmarkResend measures Begin on a key with a recorded outcome.
func BenchmarkResend(b *testing.B) {
	for _, keys := range []int{1_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			c := fill(keys)
			sends := make([]claimer.Send, 1000)
			for i := range sends {
				key := fmt.Sprint("filled-", i)
				sends[i] = claimer.Send{Claim: "x", Customer: "oyo", Key: claimer.Key{Text: key}, Digest: claimer.Digest("POST", "/fees", []byte(key), -1)}
			}
			for i := 0; b.Loop(); i++ {
				if c.Begin(epoch, sends[i%len(sends)]).Verdict != claimer.VerdictAnswer {
					b.Fatal("no answer")
				}
			}
		})
	}
}

// BenchmarkMemory measures the memory of remembered keys.
func BenchmarkMemory(b *testing.B) {
	const keys = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := fill(keys)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(c)
	}
}
