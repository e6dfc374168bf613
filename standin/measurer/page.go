package measurer

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/driller"
)

// Targets of section 1.3 of docs/design.md.
const (
	targetThroughput = 0.95
	targetInTime     = 0.999
	targetRestore    = 3 * time.Second
	targetPause      = 2 * time.Second
)

// verdict returns the table cell for a target.
func verdict(met bool) string {
	if met {
		return "met"
	}
	return "**missed**"
}

// WritePage writes the measurements as a Markdown page.
func (r *Result) WritePage(w io.Writer, command, plot string) error {
	var page strings.Builder
	fmt.Fprintf(&page, "# Measures\n\nMade by `%s` on %s: %d cores, %s, %s/%s, with all processes and the load generator on one shared machine, connected over loopback. ",
		command, time.Now().UTC().Format("2006-01-02 15:04 UTC"), runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
	fmt.Fprintf(&page, "Timings are noisy; compare them as ratios within one run.\n\n")
	fmt.Fprintf(&page, "The deployment holds %d layers in 2 ranges with %d engines of different speeds each (a full batch of 8 takes 5 to 10 ms), 3 entry daemons, a log, a list and a service. "+
		"Requests have %d prompt and %d answer tokens, Poisson arrivals with seed 1 and a deadline of %v. "+
		"The bound is %.0f tokens/s: the throughput of the slower range at the engines' configured speeds, with full batches and no idle time between batches.\n\n",
		model.Layers, len(decodeTimes), promptTokens, completionTokens, deadline, r.Bound)
	r.throughputTable(&page)
	r.costTable(&page)
	r.recoveryTable(&page)
	fmt.Fprintf(&page, "![Tokens in each 250 ms around a fault](%s)\n", plot)
	_, err := io.WriteString(w, page.String())
	return err
}

func (r *Result) throughputTable(page *strings.Builder) {
	fmt.Fprintf(page, "## Throughput against the bound\n\nThroughputs are fractions of the bound. `whole` counts the tokens of complete answers, `in time` those of answers before the deadline. The baselines drive the engines without a daemon or admission: `in turns` uses all engines of a range equally often, `in turns by speed` in proportion to their configured speeds.\n\n"+
		"| load | offered | whole | in time | critical in time (of sent) | normal in time (of sent) | refused | unknown | wrong | target |\n|--:|--:|--:|--:|--:|--:|--:|--:|--:|---|\n")
	for _, result := range r.LoadResults {
		critical, normal := inTimeShare(result.Report.Customers[0]), inTimeShare(result.Report.Customers[1])
		all, target := result.Report.All, "none"
		switch result.LoadFactor {
		case 1.0:
			target = "whole 0.95: " + verdict(all.Throughput/r.Bound >= targetThroughput)
		case 1.5:
			target = "critical in time 0.999: " + verdict(critical >= targetInTime)
		}
		fmt.Fprintf(page, "| %.1f | %.3f | %.3f | %.3f | %.4f | %.4f | %s | %d | %d | %s |\n", result.LoadFactor, result.Report.OfferedThroughput/r.Bound,
			all.Throughput/r.Bound, all.Goodput/r.Bound, critical, normal, formatRefusals(all.Refused), all.Unknown, all.Wrong, target)
	}
	fmt.Fprintf(page, "| 1.0, in turns | | %.3f | %.3f | | | | | | baseline |\n", r.RoundRobinThroughput/r.Bound, r.RoundRobinGoodput/r.Bound)
	fmt.Fprintf(page, "| 1.0, in turns by speed | | %.3f | %.3f | | | | | | baseline |\n\n", r.WeightedThroughput/r.Bound, r.WeightedGoodput/r.Bound)
	fmt.Fprintf(page, "| load | customer | first token p50, p95, p99 (ms) | between tokens p50, p95, p99 (ms) |\n|--:|---|--:|--:|\n")
	for _, result := range r.LoadResults {
		for _, stats := range result.Report.Customers {
			fmt.Fprintf(page, "| %.1f | %s | %s | %s |\n", result.LoadFactor, stats.Customer, formatLatency(stats.FirstToken), formatLatency(stats.InterToken))
		}
	}
	fmt.Fprintln(page)
}

// inTimeShare returns the share of sent requests that were done before the deadline.
func inTimeShare(s driller.Stats) float64 { return float64(s.InTime) / float64(max(1, s.Sent)) }

func formatRefusals(refused map[cowslipproxy.Reason]int) string {
	var counts []string
	for _, reason := range []cowslipproxy.Reason{cowslipproxy.ReasonDeadline, cowslipproxy.ReasonOverloaded, cowslipproxy.ReasonNoChain, cowslipproxy.ReasonOverLimit} {
		if refused[reason] > 0 {
			counts = append(counts, fmt.Sprintf("%s %d", reason, refused[reason]))
		}
	}
	if len(counts) == 0 {
		return "0"
	}
	return strings.Join(counts, ", ")
}

func formatLatency(l driller.Latency) string {
	return fmt.Sprintf("%s, %s, %s", ms(time.Duration(l.Median)), ms(time.Duration(l.P95)), ms(time.Duration(l.P99)))
}

func ms(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d)/float64(time.Millisecond)) }

func (r *Result) costTable(page *strings.Builder) {
	fmt.Fprintf(page, "## Cost of a daemon\n\n| measure | through a daemon | direct, fastest engines | ratio |\n|---|--:|--:|--:|\n")
	for _, percent := range []float64{50, 99} {
		daemon, direct := percentile(r.DaemonLatency, percent), percentile(r.DirectLatency, percent)
		fmt.Fprintf(page, "| answer of %d tokens, percentile %.0f (ms) | %s | %s | %.3f |\n", shortTokens, percent, ms(daemon), ms(direct), float64(daemon)/float64(direct))
	}
	cpuSeconds := r.SingleDaemonCPU.Seconds()
	requests := float64(r.SingleDaemonRequests)
	fmt.Fprintf(page, "\nOne daemon process with engines that are %.0f times as fast, at a load that leaves them mostly idle:\n\n", 1/singleTimeScale)
	fmt.Fprintf(page, "| measure | value |\n|---|--:|\n| requests done (1/s) | %.1f |\n| tokens in whole answers (1/s) | %.0f |\n| processor time for a request (ms, getrusage) | %.2f |\n| processor time for a token (us) | %.0f |\n\n",
		r.SingleDaemon.All.Throughput/completionTokens, r.SingleDaemon.All.Throughput, cpuSeconds/requests*1e3, cpuSeconds/requests/completionTokens*1e6)
	fmt.Fprintf(page, "%d requests were sent, %d were refused and %d had an unknown outcome. The processor time includes the start of the daemon and its background work.\n\n", r.SingleDaemon.All.Sent, totalRefused(r.SingleDaemon.All.Refused), r.SingleDaemon.All.Unknown)
}

func totalRefused(refused map[cowslipproxy.Reason]int) int {
	total := 0
	for _, count := range refused {
		total += count
	}
	return total
}

func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percent))
}

func (r *Result) recoveryTable(page *strings.Builder) {
	fmt.Fprintf(page, "## Recovery\n\nLoad %.1f of the bound, all answers streamed; the fault happens after %v. `restored` is the time from the fault to the end of the first 250 ms window that reaches 95 %% of the mean throughput before the fault. `lasting` is the time to the end of the first of 4 consecutive windows whose mean reaches it. A time is shown as none if the throughput is not reached by the end of the run. "+
		"Arrivals are random; the row without a fault shows how much of these times is noise. `last caller served` is the time until each request that was in flight at the fault and was done had received its next token.\n\n", faultLoad, faultAt)
	fmt.Fprintf(page, "| fault | restored (s) | lasting (s) | last caller served (s) | longest pause (s) | in flight | of these not done | wrong | restored within 3 s | pause below 2 s |\n|---|--:|--:|--:|--:|--:|--:|--:|---|---|\n")
	for _, recovery := range r.Recoveries {
		fmt.Fprintf(page, "| %s | %s | %s | %.3f | %.3f | %d | %d | %d | %s | %s |\n", recovery.Fault, formatSeconds(recovery.Restored), formatSeconds(recovery.Lasting),
			recovery.LastServed.Seconds(), recovery.LongestPause.Seconds(), recovery.InFlight, recovery.NotDone, recovery.Report.All.Wrong,
			verdict(recovery.Restored >= 0 && recovery.Restored <= targetRestore), verdict(recovery.LongestPause < targetPause && recovery.NotDone == 0))
	}
	fmt.Fprintln(page)
}

func formatSeconds(d time.Duration) string {
	if d < 0 {
		return "none"
	}
	return fmt.Sprintf("%.2f", d.Seconds())
}
