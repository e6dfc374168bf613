package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/pprof"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/waiter"
)

// slopesFlags are the flags of the slopes subcommand.
type slopesFlags struct {
	json    bool
	only    string
	profile string
}

// table is the result of one measurement. All cells come from the same run.
type table struct {
	Name    string     `json:"name"`
	Note    string     `json:"note"` // what the figures include
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

func (t *table) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		switch value := cell.(type) {
		case float64:
			row[i] = fmt.Sprintf("%.4g", value)
		default:
			row[i] = fmt.Sprint(value)
		}
	}
	t.Rows = append(t.Rows, row)
}

func (t *table) writeMarkdown(w io.Writer) {
	fmt.Fprintf(w, "### %s\n\n%s\n\n| %s |\n|%s\n", t.Name, t.Note, strings.Join(t.Columns, " | "), strings.Repeat("---|", len(t.Columns)))
	for _, row := range t.Rows {
		fmt.Fprintf(w, "| %s |\n", strings.Join(row, " | "))
	}
	fmt.Fprintln(w)
}

// measurements lists the measurements in the order in which they run.
var measurements = []struct {
	name    string
	measure func(ctx context.Context) (*table, error)
}{
	{"daemons", measureDaemons},
	{"changes", measureChanges},
	{"publish", measurePublish},
	{"list", measureList},
	{"connections", measureConnections},
	{"upstreams", measureUpstreams},
	{"customers", measureCustomers},
	{"members", measureMembers},
	{"claims", measureClaims},
	{"data", measureData},
}

func slopesCommand() *ffcli.Command {
	var f slopesFlags
	flags := flag.NewFlagSet("standin slopes", flag.ContinueOnError)
	flags.BoolVar(&f.json, "json", false, "write JSON")
	flags.Func("daemons", "numbers of daemons to measure, separated by commas (default 5,15,50,150)", setFleetSizes)
	flags.StringVar(&f.only, "only", "", "measurements to run, separated by commas; all if empty")
	flags.StringVar(&f.profile, "profile", "", "file for a CPU profile whose samples have the label part with the value daemon, engine or caller")
	return &ffcli.Command{
		Name:       "slopes",
		ShortUsage: "standin slopes [flags]",
		ShortHelp:  "Measures how the cost of a daemon grows with the size of the deployment; takes about three minutes.",
		LongHelp:   "Runs entry daemons and stand-ins in this process on the loopback interface.\nSee docs/CAPACITY.md.",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return f.run(ctx, os.Stdout) },
	}
}

func setFleetSizes(text string) error {
	fleetSizes = nil
	for part := range strings.SplitSeq(text, ",") {
		size, err := strconv.Atoi(part)
		if err != nil || size < 1 || size > 500 {
			return errors.Errorf("%q is not a number from 1 to 500", part)
		}
		fleetSizes = append(fleetSizes, size)
	}
	return nil
}

func (f *slopesFlags) run(ctx context.Context, w io.Writer) error {
	if f.profile != "" {
		var file *os.File
		var err error
		if file, err = os.Create(f.profile); err != nil {
			return errors.WithStack(err)
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return errors.WithStack(err)
		}
		defer pprof.StopCPUProfile()
	}
	var tables []*table
	for _, m := range measurements {
		if f.only != "" && !strings.Contains(","+f.only+",", ","+m.name+",") {
			continue
		}
		fmt.Fprintln(os.Stderr, "measuring", m.name)
		var result *table
		var err error
		if result, err = m.measure(ctx); err != nil {
			if result != nil {
				result.writeMarkdown(os.Stderr) // rows that were measured before the error
			}
			return errors.Wrap(err, m.name)
		}
		tables = append(tables, result)
		if !f.json {
			result.writeMarkdown(w)
		}
	}
	if !f.json {
		return nil
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.WithStack(encoder.Encode(tables))
}

// processorTime returns the user and system CPU time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // frees the objects of sync.Pool, which survive the first collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// meanTime repeats a call for about 300 ms and returns the mean duration.
func meanTime(call func()) time.Duration {
	const duration = 300 * time.Millisecond
	count, started := 0, time.Now()
	for time.Since(started) < duration {
		call()
		count++
	}
	return time.Since(started) / time.Duration(count)
}

// runLabelled runs a function under a value of the label part in CPU profiles. Goroutines
// that the function starts inherit the label.
func runLabelled(part string, run func()) {
	pprof.Do(context.Background(), pprof.Labels("part", part), func(context.Context) { run() })
}

func sleep(ctx context.Context, wait time.Duration) error {
	if !waiter.Wait(ctx, wait) {
		return errors.WithStack(ctx.Err())
	}
	return nil
}
