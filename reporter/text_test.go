package reporter_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// Guards against text that Prometheus can't parse, labels that split a metric into two
// families, and times in a unit other than that of the metric's name.
func TestTextParses(t *testing.T) {
	registry := metrics.NewRegistry()
	reporter.Count(registry, reporter.Labelled(reporter.MetricRequests, "outcome", "done", "reason", ""))
	reporter.Count(registry, reporter.Labelled(reporter.MetricRequests, "outcome", "refused", "reason", "overloaded"))
	reporter.DurationHistogram(registry, reporter.MetricTimeToFirst).Update(int64(1500 * time.Millisecond))
	now := time.Unix(1000, 0)
	reporter.SetAge(registry, reporter.MetricLogAge, now, now.Add(-2500*time.Millisecond))
	reporter.SetAge(registry, reporter.MetricListAge, now, time.Time{})
	var text bytes.Buffer
	require.NoError(t, reporter.WriteText(&text, registry))
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(&text)
	require.NoError(t, err)
	require.Len(t, families, 4)
	requests := families["cowslip_caller_requests"].Metric
	require.Len(t, requests, 2)
	require.Equal(t, "overloaded", requests[1].Label[1].GetValue())
	first := families["cowslip_caller_first_seconds"].Metric[0].Summary
	require.EqualValues(t, 1, first.GetSampleCount())
	require.InDelta(t, 1.5, first.Quantile[0].GetValue(), 1e-9)
	require.InDelta(t, 2.5, families["cowslip_follower_age_seconds"].Metric[0].Gauge.GetValue(), 1e-9)
	require.InDelta(t, -1, families["cowslip_lister_age_seconds"].Metric[0].Gauge.GetValue(), 1e-9)
}
