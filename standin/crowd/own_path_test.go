package crowd

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/fleet"
	"github.com/geraniumwick/geraniumwick/standin/workload"
)

// The lowered limits of an instance on the product's own path. Its largest body is fixed in the product.
const (
	ownMemoryMB       = 128
	ownFDs            = 600
	ownMaxBody        = 1 << 20
	ownMaxConnections = "250" // of each listener
	ownBodyMemoryMB   = "24"
)

// document is a configuration of one data centre with one rack and one service.
var document = map[string][]byte{
	"operators": []byte(`dataCentres:
  - {name: cairo-a, region: cairo}
partitions: 1
racks:
  - {name: cairo-a-1, dataCentre: cairo-a, partition: 0}
weights: {tailLatency: 5, throughput: 1, evictions: 1}
`),
	"levy": []byte(`team: levy
quota: {milliCPU: 1600000, memoryMB: 6500000, accelerators: 0}
services:
  - name: levy-desk
    honoursNotAfter: true
    requests:
      - {path: calculate, class: idempotent, deadline: 20s}
jobs:
  - class: recalculation
    declared: {milliCPU: 2000, memoryMB: 4000, accelerators: 0}
    declaredRun: 10m
`),
}

// startOnOwnPath starts one instance with the stand-ins that it needs and waits until it is ready.
func startOnOwnPath(t *testing.T) system {
	is := is.New(t)
	racks, err := cluster.RacksOf(document, 2, 2)
	is.NoErr(err)
	c, err := cluster.Start(t.Context(), cluster.Options{
		Dir: t.TempDir(), Binaries: binaries, Instances: 1, Document: document,
		Settings: map[string]string{
			"max-connections": ownMaxConnections, "body-memory-mb": ownBodyMemoryMB,
			"member-lease-ttl": "2s", "worker-lease-ttl": "4s",
		},
		Fleet: fleet.Spec{
			Deployment: workload.Nilewave, Racks: racks, Capacity: model.Resources{MilliCPU: 30_000, MemoryMB: 125_000},
			Slots: 8, Connections: 60, Lag: 500 * time.Millisecond, Seed: 1,
		},
	})
	t.Cleanup(c.Kill)
	is.NoErr(err)
	i := c.Instances[0]
	return system{
		Process: i.Process, memoryMB: ownMemoryMB, fds: ownFDs,
		addresses: map[listener]string{callers: i.CallerAddr, operators: i.OperatorAddr, peers: i.PeerAddr},
		ordinary: func() (*http.Request, error) {
			return http.NewRequest(http.MethodPost, "http://"+i.CallerAddr+"/v1/requests/levy-desk/calculate", strings.NewReader(calculation(t, 0)))
		},
	}
}

// calculation returns the body of a request that targets answer, of at least a size.
func calculation(t *testing.T, size int) string {
	text, err := json.Marshal(workload.NewGenerator(workload.Nilewave, "crowd", 1).Request())
	is.New(t).NoErr(err)
	return string(text) + strings.Repeat(" ", max(0, size-len(text)))
}

// requestHead begins a request on the product's own path.
const requestHead = "POST /v1/requests/levy-desk/calculate HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"

// Guards against an instance on the product's own path that runs out of memory or descriptors, or stops answering, since
// clients send bodies of legal size and stay open, or send many headers, or only connect.
func TestCrowdsOnTheOwnPath(t *testing.T) {
	body := calculation(t, ownMaxBody)
	const editHead = "PUT /v1/config/sections/levy HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
	for _, c := range []crowdCase{
		{callers, wholeBodies(requestHead, body, 240)},
		{callers, piecewiseBodies(requestHead, body, 240)},
		{callers, chunkedBodies(requestHead, "large chunks", body, 64<<10, 240)},
		{callers, chunkedBodies(requestHead, "tiny chunks", body, 1, 120)},
		{callers, headerFlood("GET /readyz HTTP/1.1\r\nHost: a\r\n", 240)},
		{callers, idleConnections("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n", 700)},
		{operators, wholeBodies(editHead, body, 240)},
		{operators, idleConnections("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n", 700)},
		{peers, peerMessages(100)},
	} {
		t.Run(c.name(), func(t *testing.T) { checkCrowd(t, startOnOwnPath(t), c) })
	}
}

// Guards against a bound that a caller inside the limits meets on the product's own path.
func TestOneLargeSlowRequestIsServedInCalm(t *testing.T) {
	is := is.New(t)
	s := startOnOwnPath(t)
	status, err := sendSlowly(s.addresses[callers], requestHead, calculation(t, ownMaxBody))
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}
