package relay

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/limiter"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// dump is the state of a daemon that GET /dump returns.
type dump struct {
	Name           string                  `json:"name"`
	Version        uint64                  `json:"version"`
	Ready          bool                    `json:"ready"`
	Stopping       bool                    `json:"stopping"`
	Reader         bool                    `json:"reader"`
	Leader         bool                    `json:"leader"`
	Age            cowslipproxy.Duration   `json:"age"` // of the instance list
	ActiveRequests int64                   `json:"flight"`
	Members        []cowslipproxy.Member   `json:"members"`
	Instances      []cowslipproxy.Instance `json:"instances"`
	Loads          map[string]float64      `json:"loads"` // load of this daemon's requests on each upstream
	Quarantine     []quarantineEntry       `json:"quarantine"`
	Limits         []limiter.GrantState    `json:"limits"` // limits that upstreams have named
}

// operatorHandler returns the handler of the operator's address, which serves the
// metrics and the dump.
func (d *Daemon) operatorHandler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/metrics", d.serveMetrics).Methods(http.MethodGet)
	routes.HandleFunc("/dump", d.serveDump).Methods(http.MethodGet)
	routes.HandleFunc("/v1/quarantine/{fingerprint}", d.serveLift).Methods(http.MethodDelete)
	return routes
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	now := d.Clock()
	_, leader := d.lease.Holds()
	reporter.SetGauge(d.Metrics, reporter.MetricInflight, d.server.InFlight())
	reporter.SetGauge(d.Metrics, reporter.MetricVersion, int64(d.configurationVersion()))
	reporter.SetGauge(d.Metrics, reporter.MetricVersionLag, int64(d.announced.lag(now, d.configurationVersion())))
	reporter.SetGauge(d.Metrics, reporter.MetricRelayListAge, int64(d.sharing.listAge(now)))
	reporter.SetGauge(d.Metrics, reporter.MetricLiveUpstreams, int64(countLive(d.registrar.Instances())))
	reporter.SetGauge(d.Metrics, reporter.MetricMessageMemory, d.server.Memory.Used())
	clientMemory, clients := d.clients.Used()
	peerMemory, peers := d.peers.Used()
	reporter.SetGauge(d.Metrics, reporter.MetricClientMemory, clientMemory+peerMemory)
	reporter.SetGauge(d.Metrics, reporter.MetricClients, int64(clients+peers))
	d.quarantine.setGauges(now, d.Metrics)
	d.pools.setSpreadGauges(now, d.Metrics)
	reporter.SetFlag(d.Metrics, reporter.MetricReader, d.sharing.isReader())
	reporter.SetFlag(d.Metrics, reporter.MetricLeader, leader)
	w.Header().Set("Content-Type", reporter.TextFormat)
	_ = reporter.WriteText(w, d.Metrics) // fails only if the client disconnected
}

func (d *Daemon) serveDump(w http.ResponseWriter, r *http.Request) {
	_, leader := d.lease.Holds()
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(dump{
		Name: d.owner.Key(), Version: d.configurationVersion(), Ready: d.isReady(), Stopping: d.stopping.Load(),
		Reader: d.sharing.isReader(), Leader: leader, Age: cowslipproxy.Duration(d.sharing.listAge(d.Clock()).Round(time.Millisecond)),
		ActiveRequests: d.server.InFlight(), Members: d.gossiper.Members(), Instances: d.registrar.Instances(), Loads: d.pools.ownLoads(),
		Quarantine: d.quarantine.dump(d.Clock()), Limits: d.limits.State(d.Clock()),
	})
	if err != nil {
		reporter.EventExchangeFailed.Log(r.Context(), d.Logger, slog.Any("error", err))
	}
}
