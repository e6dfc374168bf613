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

func scrape(t *testing.T, one *daemon) map[string]*dto.MetricFamily {
	response, err := http.Get("http://" + one.at.Operator.String() + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	require.NoError(t, err)
	return families
}

// Guards against metrics that scrapers refuse, that an operator needs and that
// are missing, and against requests that are counted under a wrong outcome.
func TestMetrics(t *testing.T) {
	d := newDeployment(t)
	d.chains()
	d.ledger("ledger-1")
	one := d.daemon("entry-1")
	d.publish()
	d.ready(one)
	before := scrape(t, one)
	_, _ = d.complete(one, officerKey, "count me", 5)
	_, _ = d.complete(one, "nobody", "refuse me", 5)
	_, err := d.call(one, http.MethodPost, "/v1/services/ledger/fees", officerKey, nil, `{}`)
	require.NoError(t, err)
	// A request is counted when its handler returns, a moment after the answer.
	require.Eventually(t, func() bool {
		return value(scrape(t, one), reporter.MetricDuration, nil)-value(before, reporter.MetricDuration, nil) == 3
	}, waitLimit, 10*time.Millisecond)
	after := scrape(t, one)
	rise := func(name string, labels ...string) float64 {
		return value(after, name, labels) - value(before, name, labels)
	}
	require.EqualValues(t, 2, rise(reporter.MetricRequests, "", "done"))
	require.EqualValues(t, 1, rise(reporter.MetricRequests, "refused", "unauthorized"))
	require.EqualValues(t, 3, rise(reporter.MetricDuration))
	require.EqualValues(t, 1, rise(reporter.MetricFirst))
	require.EqualValues(t, 4, rise(reporter.MetricBetween))
	require.EqualValues(t, 5, rise(reporter.MetricTokens))
	require.EqualValues(t, 1, rise(reporter.MetricClaims))
	require.Positive(t, value(after, reporter.MetricOffset, nil))
	require.EqualValues(t, 1, value(after, reporter.MetricReady, nil))
	require.EqualValues(t, 1, value(after, reporter.MetricMembers, nil))
	require.EqualValues(t, 0, value(after, reporter.MetricQueue, []string{"critical", "scribe"}))
	for _, name := range []string{reporter.MetricInflight, reporter.MetricFlight, reporter.MetricUnits, reporter.MetricEjected, reporter.MetricSuspects,
		reporter.MetricQuarantined, reporter.MetricKeys, reporter.MetricAppends, reporter.MetricLogAge, reporter.MetricListAge, reporter.MetricMembersDown} {
		require.Contains(t, after, reporter.TextName(name))
	}
	require.NotContains(t, after, reporter.TextName(reporter.MetricInvariants), "an invariant was violated")
}

// value returns the value of the metric with these label values, in alphabetical order, or the count of a summary, or 0 when it is missing.
func value(families map[string]*dto.MetricFamily, name string, labels []string) float64 {
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

// Guards against an explanation for another adapter than the request names.
func TestExplainsAdapters(t *testing.T) {
	d := newDeployment(t)
	d.chains()
	one := d.daemon("entry-1")
	d.publish()
	d.ready(one)
	ask := func(model string) (int, string) {
		response, err := http.Post("http://"+one.at.Operator.String()+"/v1/explain", "application/json", strings.NewReader(`{"customer":"clerks","model":"`+model+`"}`))
		require.NoError(t, err)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(data)
	}
	status, text := ask("scribe:letters")
	require.Equal(t, http.StatusOK, status, text)
	require.Contains(t, text, `"adapter": "letters"`)
	status, text = ask("scribe:none")
	require.Equal(t, http.StatusNotFound, status, text)
}
