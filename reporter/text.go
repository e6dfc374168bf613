package reporter

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// TextFormat is the content type of the output of WriteText.
var TextFormat = string(expfmt.NewFormat(expfmt.TypeTextPlain))

var quantiles = []float64{0.5, 0.95, 0.99}

// WriteText writes the metrics in the Prometheus text format.
func WriteText(w io.Writer, registry metrics.Registry) error {
	families := map[string]*dto.MetricFamily{}
	registry.Each(func(name string, metric any) { addMetric(families, name, metric) })
	for _, name := range slices.Sorted(maps.Keys(families)) {
		slices.SortFunc(families[name].Metric, func(a, b *dto.Metric) int {
			return slices.CompareFunc(a.Label, b.Label, func(a, b *dto.LabelPair) int { return strings.Compare(a.GetValue(), b.GetValue()) })
		})
		if _, err := expfmt.MetricFamilyToText(w, families[name]); err != nil {
			return errors.Wrapf(err, "metric %s", name)
		}
	}
	return nil
}

// TextName returns the name of a metric in the Prometheus text format.
func TextName(name string) string {
	return "cowslip_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

// addMetric adds a metric, whose key in the registry is its name with labels, to its
// family.
func addMetric(families map[string]*dto.MetricFamily, key string, metric any) {
	name, labels, _ := strings.Cut(strings.TrimSuffix(key, "}"), "{")
	unit := 1.0
	if strings.HasSuffix(name, ".seconds") {
		unit = float64(time.Second)
	}
	value := &dto.Metric{Label: labelPairs(labels)}
	var kind dto.MetricType
	switch m := metric.(type) {
	case metrics.Counter:
		kind, value.Counter = dto.MetricType_COUNTER, &dto.Counter{Value: proto.Float64(float64(m.Count()))}
	case metrics.Gauge:
		kind, value.Gauge = dto.MetricType_GAUGE, &dto.Gauge{Value: proto.Float64(float64(m.Value()) / unit)}
	case metrics.Histogram:
		kind, value.Summary = dto.MetricType_SUMMARY, summary(m.Snapshot(), unit)
	default:
		return
	}
	family := families[name]
	if family == nil {
		family = &dto.MetricFamily{Name: proto.String(TextName(name)), Type: kind.Enum(), Help: proto.String(fmt.Sprintf("See docs/metrics.md, %s.", name))}
		families[name] = family
	}
	family.Metric = append(family.Metric, value)
}

func labelPairs(labels string) []*dto.LabelPair {
	if labels == "" {
		return nil
	}
	var converted []*dto.LabelPair
	for _, pair := range strings.Split(labels, ",") {
		name, value, _ := strings.Cut(pair, "=")
		converted = append(converted, &dto.LabelPair{Name: proto.String(name), Value: proto.String(value)})
	}
	return converted
}

// summary converts a histogram to a summary and divides its values by unit. The count
// covers all values; the sum is estimated from the sample.
func summary(h metrics.Histogram, unit float64) *dto.Summary {
	converted := &dto.Summary{
		SampleCount: proto.Uint64(uint64(h.Count())),
		SampleSum:   proto.Float64(h.Mean() * float64(h.Count()) / unit),
	}
	for i, value := range h.Percentiles(quantiles) {
		converted.Quantile = append(converted.Quantile, &dto.Quantile{Quantile: proto.Float64(quantiles[i]), Value: proto.Float64(value / unit)})
	}
	return converted
}
