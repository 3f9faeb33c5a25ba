package server

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/access"
	"github.com/geraniumwick/geraniumwick/internal/bodybudget"
	"github.com/geraniumwick/geraniumwick/internal/cluster"
	"github.com/geraniumwick/geraniumwick/internal/command"
	"github.com/geraniumwick/geraniumwick/internal/query"
	"github.com/geraniumwick/geraniumwick/internal/refusals"
	"github.com/geraniumwick/geraniumwick/internal/route"
)

// readiness is the response body of /readyz.
type readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// listen opens the three listeners.
func (v *Server) listen() error {
	l := v.settings.Limits
	v.listeners = &listeners{log: v.log, scope: v.scope, listenFunc: v.listenFunc, limits: listenerLimits{
		headerBytes:       l.HeaderBytes,
		connections:       l.Connections,
		readHeaderTimeout: l.ReadHeaderTimeout,
		idleTimeout:       l.IdleTimeout,
	}}
	budgets := v.newBudgets()
	v.peers.SetBudget(budgets.peers, refusals.New("peer-messages", v.scope, v.log))
	all := []listener{
		{name: "peers", setting: "--peer-listen", addr: v.settings.PeerListen, handler: v.peerMux(), budget: budgets.peers},
		{name: "operators", setting: "--operator-listen", addr: v.settings.OperatorListen, handler: v.operatorMux(), tls: v.settings.TLS, budget: budgets.operators},
		{name: "callers", setting: "--caller-listen", addr: v.settings.CallerListen, handler: v.callerMux(), tls: v.settings.TLS, budget: budgets.callers},
	}
	for _, each := range all {
		if err := v.listeners.start(each); err != nil {
			return errors.Annotatef(err, "setting %s", each.setting)
		}
	}
	return nil
}

// budgets are what the listeners may hold of requests that are being received.
type budgets struct {
	callers, operators, peers *bodybudget.Budget
}

// internalShare is the part of the setting for callers that the operators' and the peers' listeners have each.
const internalShare = 0.25

// newBudgets returns the budgets that the settings give.
func (v *Server) newBudgets() budgets {
	newBudget := func(name string, share float64) *bodybudget.Budget {
		bytes := share * float64(v.settings.Limits.BodyMemoryMB) * (1 << 20)
		return bodybudget.New(int64(bytes), v.scope.Tagged(map[string]string{"budget": name}))
	}
	return budgets{
		callers:   newBudget("callers", 1),
		operators: newBudget("operators", internalShare),
		peers:     newBudget("peers", internalShare),
	}
}

// peerMux returns the handler of calls by other instances.
func (v *Server) peerMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("/peer", v.peers)
	return mux
}

// callerMux returns the handler of requests to services and of calls about jobs.
func (v *Server) callerMux() *http.ServeMux {
	mux, calls := http.NewServeMux(), http.NewServeMux()
	auth := v.authenticator(false)
	mux.Handle(route.RequestsPattern, route.Handler(v.dispatcher))
	v.commands(auth).RegisterJobs(calls)
	v.queries(auth).RegisterJobs(calls)
	mux.Handle("/", v.instanceMetrics.countCalls("callers", calls))
	v.registerHealthChecks(mux)
	return mux
}

// operatorMux returns the handler of operators' calls: jobs, configuration, status, metrics and
// profiles.
func (v *Server) operatorMux() *http.ServeMux {
	mux, calls := http.NewServeMux(), http.NewServeMux()
	auth := v.authenticator(true)
	commands, queries := v.commands(auth), v.queries(auth)
	commands.RegisterJobs(calls)
	commands.RegisterOperators(calls)
	queries.RegisterJobs(calls)
	queries.RegisterOperators(calls)
	mux.Handle("/", v.instanceMetrics.countCalls("operators", calls))
	v.registerHealthChecks(mux)
	mux.Handle("GET /metrics", v.metricsHandler)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

// authenticator returns the authenticator of the calls of one listener.
func (v *Server) authenticator(operators bool) *access.Authenticator {
	return &access.Authenticator{
		Document:         v.watcher.Current,
		OperatorToken:    v.settings.OperatorToken,
		OperatorListener: operators,
	}
}

// commands returns the handlers that change state.
func (v *Server) commands(auth *access.Authenticator) *command.Handlers {
	return &command.Handlers{Jobs: v.router, Editor: v.editor, Authenticator: auth, Recorder: v.trail}
}

// queries returns the handlers that only read.
func (v *Server) queries(auth *access.Authenticator) *query.Handlers {
	return &query.Handlers{
		Jobs:  v.router,
		Trail: v.router,
		Cluster: &cluster.StatusReader{
			Router:  v.router,
			Store:   v.members,
			Workers: v.inventory.Workers,
		},
		Configuration: v.watcher,
		History:       v.editor,
		Authenticator: auth,
	}
}

// registerHealthChecks adds the liveness and readiness checks, which the load balancer and the
// process supervisor call.
func (v *Server) registerHealthChecks(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		r := v.ready()
		w.Header().Set("Content-Type", "application/json")
		if !r.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(r)
	})
}

// ready reports whether the load balancer should send calls to this instance.
func (v *Server) ready() readiness {
	if v.draining.Load() {
		return readiness{Reason: "the instance is stopping"}
	}
	if _, ok := v.watcher.Current(); !ok {
		return readiness{Reason: "no configuration has been read yet"}
	}
	if !v.ownersSeen.Load() && !v.router.OwnersKnown() {
		return readiness{Reason: "the owners of the partitions are not known yet"}
	}
	// Once ready, the instance stays ready during a takeover: calls wait for the new owner, but they
	// would wait as long on any other instance.
	v.ownersSeen.Store(true)
	return readiness{Ready: true}
}
