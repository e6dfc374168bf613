package router_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/reporter"
)

func scrape(t *testing.T, entry *daemon) map[string]*dto.MetricFamily {
	response, err := http.Get("http://" + entry.listen.Operator.String() + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	require.NoError(t, err)
	return families
}

// Guards against metrics in a format that scrapers reject, missing metrics, and
// requests that are counted with a wrong outcome.
func TestMetrics(t *testing.T) {
	d := newDeployment(t)
	d.startEngines()
	d.startLedger("ledger-1")
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	// A request is counted when its handler returns, shortly after the response.
	before := scrape(t, entry)
	require.Eventually(t, func() bool {
		before = scrape(t, entry)
		return metricValue(before, reporter.MetricInflight, nil) == 0
	}, waitLimit, 10*time.Millisecond)
	_, _ = d.complete(entry, officerKey, "count me", 5)
	_, _ = d.complete(entry, "nobody", "refuse me", 5)
	_, err := d.call(entry, http.MethodPost, "/v1/services/ledger/fees", officerKey, nil, `{}`)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return metricValue(scrape(t, entry), reporter.MetricDuration, nil)-metricValue(before, reporter.MetricDuration, nil) == 3
	}, waitLimit, 10*time.Millisecond)
	after := scrape(t, entry)
	increase := func(name string, labels ...string) float64 {
		return metricValue(after, name, labels) - metricValue(before, name, labels)
	}
	require.EqualValues(t, 2, increase(reporter.MetricRequests, "", "done"))
	require.EqualValues(t, 1, increase(reporter.MetricRequests, "refused", "unauthorized"))
	require.EqualValues(t, 3, increase(reporter.MetricDuration))
	require.EqualValues(t, 1, increase(reporter.MetricTimeToFirst))
	require.EqualValues(t, 4, increase(reporter.MetricTokenInterval))
	require.EqualValues(t, 5, increase(reporter.MetricTokens))
	require.EqualValues(t, 1, increase(reporter.MetricClaims))
	require.Positive(t, metricValue(after, reporter.MetricOffset, nil))
	require.EqualValues(t, 1, metricValue(after, reporter.MetricReady, nil))
	require.EqualValues(t, 1, metricValue(after, reporter.MetricMembers, nil))
	require.EqualValues(t, 0, metricValue(after, reporter.MetricQueue, []string{"critical", "scribe"}))
	for _, name := range []string{reporter.MetricInflight, reporter.MetricUnitsInFlight, reporter.MetricUnitLimit, reporter.MetricEjected, reporter.MetricSuspects,
		reporter.MetricQuarantined, reporter.MetricKeys, reporter.MetricAppends, reporter.MetricLogAge, reporter.MetricListAge, reporter.MetricMembersDown} {
		require.Contains(t, after, reporter.TextName(name))
	}
	require.NotContains(t, after, reporter.TextName(reporter.MetricInvariants), "an invariant was violated")
}

// metricValue returns the value of the metric with the given label values, in
// alphabetical order, or of the first one if no labels are given. It returns the sample
// count of a summary, and 0 if there is no such metric.
func metricValue(families map[string]*dto.MetricFamily, name string, labels []string) float64 {
	for _, metric := range families[reporter.TextName(name)].GetMetric() {
		var values []string
		for _, label := range metric.Label {
			values = append(values, label.GetValue())
		}
		slices.Sort(values)
		if len(labels) == 0 || slices.Equal(values, labels) {
			return metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + float64(metric.GetSummary().GetSampleCount())
		}
	}
	return 0
}

// Guards against an explanation for an adapter that the request doesn't name.
func TestExplainUsesRequestedAdapter(t *testing.T) {
	d := newDeployment(t)
	d.startEngines()
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	explain := func(model string) (int, string) {
		response, err := http.Post("http://"+entry.listen.Operator.String()+"/v1/explain", "application/json", strings.NewReader(`{"customer":"clerks","model":"`+model+`"}`))
		require.NoError(t, err)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(data)
	}
	status, text := explain("scribe:letters")
	require.Equal(t, http.StatusOK, status, text)
	require.Contains(t, text, `"adapter": "letters"`)
	status, text = explain("scribe:none")
	require.Equal(t, http.StatusNotFound, status, text)
}
