package committer_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cowslipproxy/cowslipproxy/claimer"
)

// BenchmarkLoad measures claims from 1,000 concurrent callers with a log that takes
// 2 ms for an append, at the default append rate.
func BenchmarkLoad(b *testing.B) {
	log := newFakeLog()
	c, stop := startCommitter(b, log, "d1")
	defer stop()
	var next atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	for range 1000 {
		group.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				attempt := newAttempt(fmt.Sprint("c", i), fmt.Sprint("k", i))
				if d := c.Claim(b.Context(), attempt); d.Verdict != claimer.VerdictDispatch {
					b.Error(d.Verdict, d.Failure)
					return
				}
				_ = c.Finish(b.Context(), attempt, doneAnswer) // failures show in the reported counters
			}
		})
	}
	group.Wait()
	counts := c.Counts()
	b.ReportMetric(float64(counts.Records)/float64(counts.Appends), "records/append")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(counts.Appends)/b.Elapsed().Seconds(), "appends/s")
}
