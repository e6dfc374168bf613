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

// table is one part of the measurement. All cells are figures of one run.
type table struct {
	Name    string     `json:"name"`
	Note    string     `json:"note"` // what the figures include
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

func (t *table) add(cells ...any) {
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

func (t *table) markdown(w io.Writer) {
	fmt.Fprintf(w, "### %s\n\n%s\n\n| %s |\n|%s\n", t.Name, t.Note, strings.Join(t.Columns, " | "), strings.Repeat("---|", len(t.Columns)))
	for _, row := range t.Rows {
		fmt.Fprintf(w, "| %s |\n", strings.Join(row, " | "))
	}
	fmt.Fprintln(w)
}

// parts are the measurements in the order in which they run.
var parts = []struct {
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
	flags.Func("daemons", "sizes of the fleets, separated by commas (default 5,15,50,150)", setSizes)
	flags.StringVar(&f.only, "only", "", "parts to measure, separated by commas; all if empty")
	flags.StringVar(&f.profile, "profile", "", "file for a processor profile with the tag part: daemon, engine or caller")
	return &ffcli.Command{
		Name:       "slopes",
		ShortUsage: "standin slopes [flags]",
		ShortHelp:  "Measures how the cost of a daemon grows; takes about three minutes.",
		LongHelp:   "Runs entry daemons in this process on loopback, against stand-ins that run in it too.\nSee docs/CAPACITY.md.",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return f.run(ctx, os.Stdout) },
	}
}

func setSizes(text string) error {
	fleetSizes = nil
	for part := range strings.SplitSeq(text, ",") {
		size, err := strconv.Atoi(part)
		if err != nil || size < 1 || size > 500 {
			return errors.Errorf("found %q, accepted are numbers from 1 to 500", part)
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
	for _, part := range parts {
		if f.only != "" && !strings.Contains(","+f.only+",", ","+part.name+",") {
			continue
		}
		fmt.Fprintln(os.Stderr, "measuring", part.name)
		var measured *table
		var err error
		if measured, err = part.measure(ctx); err != nil {
			if measured != nil {
				measured.markdown(os.Stderr) // what was measured before the failure
			}
			return errors.Wrap(err, part.name)
		}
		tables = append(tables, measured)
		if !f.json {
			measured.markdown(w)
		}
	}
	if !f.json {
		return nil
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.WithStack(encoder.Encode(tables))
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the heap and stacks in use after a collection.
func memory() float64 {
	runtime.GC()
	runtime.GC() // frees what the first one only unlinked from pools
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// timed returns the mean time of a call that is repeated for about 300 ms.
func timed(call func()) time.Duration {
	const span = 300 * time.Millisecond
	count, began := 0, time.Now()
	for time.Since(began) < span {
		call()
		count++
	}
	return time.Since(began) / time.Duration(count)
}

// labelled runs a function whose processor time, and that of the goroutines that it
// starts, has the tag part in a profile.
func labelled(part string, run func()) {
	pprof.Do(context.Background(), pprof.Labels("part", part), func(context.Context) { run() })
}

func pause(ctx context.Context, wait time.Duration) error {
	if !waiter.Wait(ctx, wait) {
		return errors.WithStack(ctx.Err())
	}
	return nil
}
