package reporter

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// TextFormat is the content type of WriteText.
var TextFormat = string(expfmt.NewFormat(expfmt.TypeTextPlain))

var quantiles = []float64{0.5, 0.95, 0.99}

// WriteText writes the metrics in the text format that scrapers read.
func WriteText(w io.Writer, registry metrics.Registry) error {
	var families []*dto.MetricFamily
	registry.Each(func(name string, metric any) {
		if family := family(name, metric); family != nil {
			families = append(families, family)
		}
	})
	sort.Slice(families, func(i, j int) bool { return families[i].GetName() < families[j].GetName() })
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(w, family); err != nil {
			return errors.Wrapf(err, "metric %s", family.GetName())
		}
	}
	return nil
}

func family(name string, metric any) *dto.MetricFamily {
	out := &dto.MetricFamily{
		Name: proto.String("cowslip_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)),
	}
	value := &dto.Metric{}
	out.Metric = []*dto.Metric{value}
	switch m := metric.(type) {
	case metrics.Counter:
		out.Type = dto.MetricType_COUNTER.Enum()
		value.Counter = &dto.Counter{Value: proto.Float64(float64(m.Count()))}
	case metrics.Gauge:
		out.Type = dto.MetricType_GAUGE.Enum()
		value.Gauge = &dto.Gauge{Value: proto.Float64(float64(m.Value()))}
	case metrics.Histogram:
		out.Type = dto.MetricType_SUMMARY.Enum()
		value.Summary = summary(m.Snapshot())
	default:
		return nil
	}
	out.Help = proto.String(fmt.Sprintf("See docs/metrics.md, %s.", name))
	return out
}

func summary(h metrics.Histogram) *dto.Summary {
	out := &dto.Summary{
		SampleCount: proto.Uint64(uint64(h.Count())),
		SampleSum:   proto.Float64(h.Mean() * float64(h.Count())),
	}
	for i, value := range h.Percentiles(quantiles) {
		out.Quantile = append(out.Quantile, &dto.Quantile{Quantile: proto.Float64(quantiles[i]), Value: proto.Float64(value)})
	}
	return out
}
