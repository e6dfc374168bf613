package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/chooser"
	"github.com/cowslipproxy/cowslipproxy/claimer"
	"github.com/cowslipproxy/cowslipproxy/ejector"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/joiner"
	"github.com/cowslipproxy/cowslipproxy/limiter"
	"github.com/cowslipproxy/cowslipproxy/lister"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
)

const (
	modelLayers    = 80
	rangesPerModel = 10   // ranges of layers into which a model is split
	demandDaemons  = 100  // daemons that publish demand for each customer
	fullFleetSize  = 1900 // daemons
)

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

func engineVM(number int) cowslipproxy.VM {
	return cowslipproxy.VM{
		Name: fmt.Sprintf("engine-%05d", number), Role: cowslipproxy.VMEngine, Centre: fmt.Sprint("centre-", number%13), State: cowslipproxy.VMLive,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), 7000),
	}
}

// measureList measures polls of the list, with a full response and with an unchanged list.
func measureList(ctx context.Context) (*table, error) {
	result := &table{
		Name:    "Poll of the list by number of VMs",
		Note:    "`lister` against the list stand-in. Bytes include HTTP headers, but not TCP and IP headers. Processor time is that of `lister` and of the stand-in, which sorts and encodes the list for a whole answer.",
		Columns: []string{"VMs", "answer", "B per poll", "processor ms per poll"},
	}
	for _, count := range []int{100, 1000, 8800} {
		var f *fleet
		var err error
		if f, err = newFleet(); err != nil {
			return nil, err
		}
		var vms []cowslipproxy.VM
		for i := range count {
			vms = append(vms, engineVM(i))
		}
		f.list.Put(vms...)
		for _, name := range []string{"whole", "unchanged"} {
			if err := f.measurePolls(ctx, count, name, result); err != nil {
				f.close()
				return nil, err
			}
		}
		f.close()
	}
	return result, nil
}

func (f *fleet) measurePolls(ctx context.Context, count int, name string, result *table) error {
	transport := &http.Transport{DialContext: dialCounted(f.meter, name)}
	defer transport.CloseIdleConnections()
	l := &lister.Lister{URL: "http://" + f.listAddress.String(), Client: &http.Client{Transport: transport}}
	const polls = 20
	var from traffic
	var cpuTime time.Duration
	for i := range polls + 1 {
		if i == 1 { // the first poll connects and gets the full list; it isn't measured
			from, cpuTime = f.meter.total(name), processorTime()
		}
		if name == "whole" {
			l = &lister.Lister{URL: l.URL, Client: l.Client}
		}
		if _, err := l.VMs(ctx); err != nil {
			return err
		}
	}
	cpuTime = processorTime() - cpuTime
	used := f.meter.total(name).minus(from)
	result.addRow(count, name, float64(used.Bytes)/polls, milliseconds(cpuTime)/polls)
	return nil
}

// upstreamState is the state that a daemon keeps of its upstreams.
type upstreamState struct {
	joiner  joiner.Joiner
	chooser chooser.Chooser
	ejector ejector.Ejector
	vms     []cowslipproxy.VM
	applied map[string]appliedState // by VM: the state that was last applied to the chooser
}

type appliedState struct {
	vm     cowslipproxy.VM
	usable bool
}

func syntheticReport(number int) cowslipproxy.Report {
	first := number / 22 % rangesPerModel * (modelLayers / rangesPerModel) // engines hold all ranges of each model
	return cowslipproxy.Report{
		Model: fmt.Sprintf("model-%02d", number%22), Version: "1", Kind: "kind-1", Role: cowslipproxy.RoleServe, Queue: number % 20, Running: 16,
		Pace: 200 * time.Microsecond, FreeTokens: 1 << 20, RunID: "4f9c1f0a-3a51-4ee1-9d8c-53b1f6f0a111",
		Range: cowslipproxy.LayerRange{First: first, End: first + modelLayers/rangesPerModel},
	}
}

func newUpstreams(count int, now time.Time) *upstreamState {
	u := &upstreamState{applied: map[string]appliedState{}}
	u.chooser.Name, u.chooser.Centre, u.chooser.Usable = "entry-1", "centre-1", u.ejector.Usable
	for i := range count {
		u.vms = append(u.vms, engineVM(i))
	}
	u.joiner.ApplyList(u.vms, now, now)
	for i, vm := range u.vms {
		u.chooser.Add(now, chooser.Upstream{Name: vm.Name, VM: vm.Name, Centre: vm.Centre})
		u.report(i, now)
	}
	return u
}

// report applies an engine's report as pooler.Pool does.
func (u *upstreamState) report(number int, now time.Time) {
	name, report := u.vms[number].Name, syntheticReport(number)
	u.joiner.RecordProbe(name, true, now)
	u.joiner.RecordSelfReport(name, false, now)
	u.ejector.Add(name, fmt.Sprintf("%s/%s%v", report.Model, report.Version, report.Range))
	u.chooser.Report(now, name, report)
}

// refresh does the periodic work of pooler.Pool, which runs five times a second, when
// nothing changed.
func (u *upstreamState) refresh(now time.Time) {
	u.joiner.Each(func(vm cowslipproxy.VM, usable bool) {
		if current := (appliedState{vm, usable}); u.applied[vm.Name] != current {
			u.applied[vm.Name] = current
			u.chooser.SetLeaving(vm.Name, !usable)
		}
	})
	u.joiner.Forget(now.Add(-5 * time.Minute))
	_ = u.joiner.Check() // nothing was sent
}

// refreshAll is the earlier form of refresh, for comparison. It also sets the upstreams
// that did not change.
func (u *upstreamState) refreshAll(now time.Time) {
	known := append(u.joiner.Known(cowslipproxy.VMEngine), u.joiner.Known(cowslipproxy.VMService)...)
	usable := make(map[string]bool, len(known))
	for _, vm := range known {
		usable[vm.Name] = u.joiner.IsUsable(vm.Name)
	}
	u.joiner.Forget(now.Add(-5 * time.Minute))
	_ = u.joiner.Check() // nothing was sent
	for _, vm := range known {
		u.chooser.SetLeaving(vm.Name, !usable[vm.Name])
	}
}

// measureUpstreams measures the memory and time of joiner, chooser and ejector by number
// of upstreams.
func measureUpstreams(ctx context.Context) (*table, error) {
	result := &table{
		Name:    "Upstreams: state and decisions",
		Note:    "Direct calls of `joiner`, `chooser` and `ejector` as `pooler` makes them, without connections and without contention for locks. 22 models in 10 ranges each. `refresh` runs 5 times a second.",
		Columns: []string{"upstreams", "KB each", "us per report", "report B (CBOR)", "ms per refresh of all", "% core", "ms per refresh of changes", "% core", "us per chain"},
	}
	now := time.Now()
	for _, count := range []int{220, 1000, 7000} {
		before := memoryInUse()
		u := newUpstreams(count, now)
		memoryEach := (memoryInUse() - before) / float64(count) / 1000
		next := 0
		report := meanTime(func() {
			now = now.Add(time.Millisecond)
			u.report(next%count, now)
			next++
		})
		all := meanTime(func() { u.refreshAll(now) })
		refresh := meanTime(func() { u.refresh(now) })
		need := cowslipproxy.Requirements{Model: "model-00", Version: "1", Range: cowslipproxy.LayerRange{End: modelLayers}, Tokens: 400}
		if _, err := u.chooser.Chain(now, need); err != nil {
			return nil, err
		}
		chain := meanTime(func() {
			now = now.Add(24 * time.Millisecond)
			_, _ = u.chooser.Chain(now, need) // the first call checked the error
		})
		var data []byte
		var err error
		if data, err = cbor.Marshal(syntheticReport(1)); err != nil {
			return nil, err
		}
		result.addRow(count, memoryEach, microseconds(report), len(data), milliseconds(all), 100*5*all.Seconds(), milliseconds(refresh), 100*5*refresh.Seconds(), microseconds(chain))
		runtime.KeepAlive(u)
	}
	return result, ctx.Err()
}

// measureCustomers measures limiter by number of customers that are active on many daemons.
func measureCustomers(ctx context.Context) (*table, error) {
	result := &table{
		Name:    "Limits by number of active customers",
		Note:    fmt.Sprintf("Direct calls of `limiter`. %d daemons publish demand for each customer. A daemon builds a digest and sets the list of daemons (here %d) once a second.", demandDaemons, fullFleetSize),
		Columns: []string{"customers", "B per customer and daemon", "us per merged digest", "ms per digest", "ms to set daemons", "us per admission", "B of one demand (CBOR)"},
	}
	now := time.Now()
	var daemons []string
	for i := range fullFleetSize {
		daemons = append(daemons, fmt.Sprintf("entry-%04d/1786000000000000000", i))
	}
	for _, count := range []int{10, 100, 3700} {
		before := memoryInUse()
		limits := &limiter.Limits{Self: daemons[0]}
		limits.SetDaemons(now, daemons)
		admitter := &limiter.Limiter{Limits: limits, Queue: &limiter.Queue{Units: 100, Rate: 1e6}}
		requests := make([]limiter.Request, count)
		for i := range requests {
			requests[i] = limiter.Request{Customer: customer(i), Tokens: 100, Deadline: now.Add(time.Hour)}
			requests[i].Customer.Rate, requests[i].Customer.Burst = 1e12, 1e12
		}
		digest := func(source, number int, seq uint64) limiter.Digest {
			return limiter.Digest{Source: daemons[source], Seq: seq, Demands: []limiter.Demand{{Customer: requests[number].Customer.Name, Rate: 100}}}
		}
		for number := range count {
			for source := 1; source <= demandDaemons; source++ {
				limits.Merge(now, digest(source, number, 1))
			}
		}
		memoryEach := (memoryInUse() - before) / float64(count*demandDaemons)
		next := 0
		admission := meanTime(func() {
			ticket, _, failure := admitter.Enter(now, requests[next%count])
			if failure == nil {
				admitter.Leave(now, ticket, 100)
			}
			next++
		})
		seq := uint64(1)
		merged := meanTime(func() {
			seq++
			limits.Merge(now, digest(1+int(seq)%demandDaemons, int(seq)%count, seq))
		})
		published := meanTime(func() { limits.Digest(now) })
		set := meanTime(func() { limits.SetDaemons(now, daemons) })
		var data []byte
		var err error
		if data, err = cbor.Marshal(digest(1, 0, 1)); err != nil {
			return nil, err
		}
		result.addRow(count, memoryEach, microseconds(merged), milliseconds(published), milliseconds(set), microseconds(admission), len(data))
		runtime.KeepAlive(limits)
	}
	return result, ctx.Err()
}

// measureMembers measures membership and quarantine by number of daemons.
func measureMembers(ctx context.Context) (*table, error) {
	result := &table{
		Name:    "Membership and quarantine by number of daemons",
		Note:    "Direct calls of `gossiper` and `quarantiner`. A daemon calls `Neighbours` once a second, and `Pending` 10 times a second for each daemon, here with 10 suspects that all daemons have received.",
		Columns: []string{"daemons", "us per Neighbours", "ms per Pending of all daemons", "% core of Pending", "KB of hellos per daemon"},
	}
	now := time.Now()
	for _, count := range []int{15, 150, fullFleetSize} {
		var contacts []gossiper.Contact
		var names []string
		before := memoryInUse()
		store := gossiper.NewStore()
		for i := range count {
			owner := cowslipproxy.Owner{Name: fmt.Sprintf("entry-%04d", i), Incarnation: uint64(now.UnixNano())}
			contacts = append(contacts, gossiper.Contact{Owner: owner, Centre: fmt.Sprint(i % 13)})
			names = append(names, owner.Key())
			var data []byte
			var err error
			if data, err = gossiper.Encode(cowslipproxy.Hello{Caller: engineVM(i).Address, Peer: engineVM(i).Address, Centre: contacts[i].Centre}); err != nil {
				return nil, err
			}
			store.Apply([]gossiper.Item{{Owner: owner, Reach: gossiper.ReachAll, Kind: gossiper.KindHello, Version: 1, Data: data}}, "peer", now)
		}
		memoryEach := (memoryInUse() - before) / float64(count) / 1000
		neighbours := meanTime(func() { gossiper.Neighbours(contacts[count/2], contacts) })
		q := &quarantiner.Quarantiner{Self: names[0]}
		q.SetPeers(names)
		for i := range 10 {
			suspect := quarantiner.RequestFingerprint{Customer: "customer-0001"}
			suspect.Content = uint64(i + 1)
			q.Crash(now, fmt.Sprint("engine-", i), []quarantiner.RequestFingerprint{suspect})
		}
		for _, name := range names {
			records := q.Pending(now, name)
			q.HandleAck(now, name, records, records)
		}
		pending := meanTime(func() {
			for _, name := range names {
				q.Pending(now, name)
			}
		})
		result.addRow(count, microseconds(neighbours), milliseconds(pending), 100*10*pending.Seconds(), memoryEach)
		runtime.KeepAlive(store)
	}
	return result, ctx.Err()
}

// measureClaims measures the encoding and application of the claim records of plain keys.
func measureClaims(ctx context.Context) (*table, error) {
	result := &table{
		Name:    "Claims of plain keys",
		Note:    "Direct calls of `claimer`. Bytes are those of the claim and the outcome (with an answer of 200 bytes) in the log's JSON, as each daemon that follows the stream reads them.",
		Columns: []string{"remembered keys", "B of records per key", "us to encode, decode and apply", "B of memory per key"},
	}
	now := time.Now()
	for _, count := range []int{1000, 100_000} {
		before := memoryInUse()
		c := &claimer.Claimer{Incarnation: "entry-1/1786000000000000000", Partitions: 1, MaxKeys: 1 << 30}
		size := 0
		started := time.Now()
		for i := range count {
			claim := claimer.Record{
				Kind: claimer.KindClaim, Key: fmt.Sprintf("4f9c1f0a-3a51-4ee1-9d8c-%012d", i), Customer: "customer-0001", Owner: "entry-2/1786000000000000000",
				Claim: fmt.Sprintf("entry-2/1786000000000000000/%d", i), Digest: claimer.Digest("POST", "/fees", nil, 0), Time: now,
			}
			outcome := claim
			outcome.Kind, outcome.Digest, outcome.Answer = claimer.KindOutcome, "", &claimer.Answer{Outcome: cowslipproxy.OutcomeDone, Status: 201, Body: make([]byte, 200)}
			var records [][]byte
			for _, record := range []claimer.Record{claim, outcome} {
				var data []byte
				var err error
				if data, err = claimer.Encode(record); err != nil {
					return nil, err
				}
				records = append(records, data)
			}
			entry := claimer.Join(records)
			var decoded []claimer.Record
			var err error
			if decoded, err = claimer.Decode(entry); err != nil {
				return nil, err
			}
			c.Apply(now, 0, now, decoded)
			if i == 0 {
				data, err := json.Marshal(entry) // the log's JSON encodes bytes as base64
				if err != nil {
					return nil, err
				}
				size = len(data)
			}
		}
		elapsed := time.Since(started) / time.Duration(count)
		result.addRow(count, size, microseconds(elapsed), (memoryInUse()-before)/float64(count))
		runtime.KeepAlive(c)
	}
	return result, ctx.Err()
}
