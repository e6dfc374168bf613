package main

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/follower"
	"github.com/cowslipproxy/cowslipproxy/resolver"
)

// measurePublish measures the publication of a whole configuration to an empty log, and
// then of one change to it.
func measurePublish(ctx context.Context) (*table, error) {
	result := &table{
		Name:    "An operator's publication by number of customers",
		Note:    "`follower.Publisher` against the log stand-in, from the start to the last verdict. Bytes include HTTP headers, but not TCP and IP headers.",
		Columns: []string{"customers", "published", "s", "appends/s", "KB", "processor ms"},
	}
	for _, count := range []int{10, 100, 3700} {
		if err := measurePublication(ctx, count, result); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func measurePublication(ctx context.Context, count int, result *table) error {
	var f *fleet
	var err error
	if f, err = newFleet(); err != nil {
		return err
	}
	defer f.close()
	transport := &http.Transport{DialContext: dialCounted(f.meter, "log"), MaxIdleConnsPerHost: 8}
	defer transport.CloseIdleConnections()
	publisher := &follower.Publisher{Log: &follower.Client{Address: f.logAddress, Transport: transport}, Timeout: 30 * time.Second}
	var configuration cowslipproxy.Configuration
	for i := range count {
		configuration.Customers = append(configuration.Customers, customer(i))
	}
	for _, name := range []string{"all", "one change"} {
		from, cpuBefore, started := f.meter.total("log"), processorTime(), time.Now()
		var results []follower.Result
		var err error
		if results, err = publisher.Publish(ctx, configuration); err != nil {
			return err
		}
		appended := 0
		for _, published := range results {
			if published.Verdict != resolver.VerdictAccepted {
				return errors.Errorf("publish scope %s: unexpected verdict %s", published.Scope, published.Verdict)
			}
			if published.ID != "" {
				appended++
			}
		}
		elapsed := time.Since(started)
		used := f.meter.total("log").minus(from)
		result.addRow(count, name, elapsed.Seconds(), float64(appended)/elapsed.Seconds(), float64(used.Bytes)/1000, milliseconds(processorTime()-cpuBefore))
		configuration.Customers[0].Rate++
	}
	return nil
}
