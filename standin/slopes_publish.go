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

// measurePublish measures an operator's publication: of everything into an empty
// log, and of one change of it.
func measurePublish(ctx context.Context) (*table, error) {
	result := &table{
		Name:    "An operator's publication by number of customers",
		Note:    "`follower.Publisher` against the log stand-in, from the start to the last verdict. Bytes have the headers of HTTP, and not those of TCP and IP.",
		Columns: []string{"customers", "published", "s", "appends/s", "KB", "ms of processor"},
	}
	for _, count := range []int{10, 100, 3700} {
		if err := measurePublished(ctx, count, result); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func measurePublished(ctx context.Context, count int, result *table) error {
	var f *fleet
	var err error
	if f, err = newFleet(); err != nil {
		return err
	}
	defer f.close()
	transport := &http.Transport{DialContext: dialCounted(f.wires, "log"), MaxIdleConnsPerHost: 8}
	defer transport.CloseIdleConnections()
	publisher := &follower.Publisher{Log: &follower.Client{Address: f.logAt, Transport: transport}, Timeout: 30 * time.Second}
	var configuration cowslipproxy.Configuration
	for i := range count {
		configuration.Customers = append(configuration.Customers, customer(i))
	}
	for _, name := range []string{"all", "one change"} {
		from, spent, began := f.wires.total("log"), processorTime(), time.Now()
		var results []follower.Result
		var err error
		if results, err = publisher.Publish(ctx, configuration); err != nil {
			return err
		}
		appended := 0
		for _, one := range results {
			if one.Verdict != resolver.VerdictAccepted {
				return errors.Errorf("%s: found verdict %s", one.Scope, one.Verdict)
			}
			if one.ID != "" {
				appended++
			}
		}
		took := time.Since(began)
		used := f.wires.total("log").minus(from)
		result.add(count, name, took.Seconds(), float64(appended)/took.Seconds(), float64(used.Bytes)/1000, milliseconds(processorTime()-spent))
		configuration.Customers[0].Rate++
	}
	return nil
}
