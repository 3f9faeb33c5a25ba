package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/fleet"
	"github.com/geraniumwick/geraniumwick/standin/workload"
)

// Parameters of the fleet, and the number of jobs that are submitted at the same time.
const (
	workersPerRack        = 20
	slots                 = 8
	connections           = 60
	sampleWindow          = 10 * time.Second
	concurrentSubmissions = 64
)

// capacityOfWorker is large enough for the tasks of every size, so that no start waits for free
// capacity.
var capacityOfWorker = model.Resources{MilliCPU: 240_000, MemoryMB: 1_000_000}

// startSystem starts a cluster of a size.
func startSystem(ctx context.Context, dir string, binaries cluster.Binaries, s size) (*cluster.Cluster, error) {
	document, racks := documentOf(s)
	return cluster.Start(ctx, cluster.Options{
		Dir: dir, Binaries: binaries, Instances: s.Instances, Document: document,
		Settings: map[string]string{"log-level": "error"},
		Fleet: fleet.Spec{
			Deployment: workload.Nilewave, Racks: racks, Capacity: capacityOfWorker,
			Slots: slots, Connections: connections, Lag: time.Second, Seed: 1, SampleWindow: sampleWindow,
		},
	})
}

// documentOf returns a configuration with the racks of a size, spread over three data centres and
// all partitions, and the same racks for the fleet.
func documentOf(s size) (map[string][]byte, []fleet.Rack) {
	var text strings.Builder
	text.WriteString("dataCentres: [{name: a, region: r}, {name: b, region: r}, {name: c, region: r}]\n")
	fmt.Fprintf(&text, "partitions: %d\nracks:\n", s.Partitions)
	var racks []fleet.Rack
	perRack := min(workersPerRack, max(1, s.Workers/s.Partitions))
	for placed := 0; placed < s.Workers; placed += perRack {
		n := len(racks)
		r := fleet.Rack{
			Name:       model.Rack(fmt.Sprintf("rack-%d", n)),
			DataCentre: model.DataCentre([]string{"a", "b", "c"}[n%3]),
			Workers:    min(perRack, s.Workers-placed),
		}
		fmt.Fprintf(&text, "  - {name: %s, dataCentre: %s, partition: %d}\n", r.Name, r.DataCentre, n%s.Partitions)
		racks = append(racks, r)
	}
	for n := range s.Targets {
		racks[n%len(racks)].Targets++
	}
	text.WriteString("weights: {tailLatency: 1, throughput: 1, evictions: 1}\n")
	return map[string][]byte{"operators": []byte(text.String()), "levy": []byte(teamText)}, racks
}

// teamText is the section of the only team. Its quota is too large to delay a start.
const teamText = `team: levy
quota: {milliCPU: 900000000, memoryMB: 900000000, accelerators: 0}
services:
  - name: levy-desk
    honoursNotAfter: true
    requests:
      - {path: calculate, class: idempotent, deadline: 2s}
      - {path: prepare, class: exclusive, deadline: 10s}
      - {path: file, class: once, deadline: 10s}
jobs:
  - class: recalculation
    declared: {milliCPU: 1000, memoryMB: 1000, accelerators: 0}
    declaredRun: 1h
  - class: due-return
    declared: {milliCPU: 100, memoryMB: 100, accelerators: 0}
    declaredRun: 1s
    urgent: true
`
