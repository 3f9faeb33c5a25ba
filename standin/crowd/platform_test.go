package crowd

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/standin/process"
	"github.com/geraniumwick/geraniumwick/standin/soak"
)

// The lowered limits of the machine of an instance on the platform, and the largest body that is legal.
const (
	platformMemoryMB = 96
	platformFDs      = 600
	platformMaxBody  = 262_144
)

// Ports of an instance on the platform. The metrics port is fixed in the product.
const (
	callerPort  = 8161
	readyPort   = 8167
	peerPort    = 7720
	metricsPort = 9464
)

const settingsText = `node-name: "crowded"
ip: %[1]q
zone: "a"
listen: {front: "%[1]s:%[2]d", ready: "%[1]s:%[3]d"}
internal-ports: [%[4]d, %[5]d]
limits: {cpu-share: 1, cores: 1, memory-mb: %[6]d, max-fds: %[7]d}
bounds: {hold-max-ms: 6000, grace-s: 6, status_s: 120}
orders: "invoke"
platform: {address: %[8]q, ttl-min-ms: 1000}
`

const configText = `{"version":1,"routes":[{"name":"q","host":"jobs.example","prefix":"/jobs/","service":"svc",
"target-duration-ms":1000,"priority":0,"max-attempts":3,"stretch":2}],
"limits":{"max-header-bytes":16384,"max-body-bytes":%d,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// startOnPlatform starts one instance with a store of its own and waits until it is ready.
func startOnPlatform(t *testing.T) system {
	is := is.New(t)
	store := soak.NewStore(1)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.PutText("op/config", fmt.Appendf(nil, configText, platformMaxBody))
	ip := fmt.Sprintf("127.%d.%d.1", 10+rand.IntN(200), rand.IntN(250))
	dir := t.TempDir()
	file := filepath.Join(dir, "local.yaml")
	text := fmt.Sprintf(settingsText, ip, callerPort, readyPort, peerPort, peerPort+15, platformMemoryMB, platformFDs,
		server.Listener.Addr())
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	p, err := process.Start(dir, "crowded", nil, []string{"GERANIUMWICK_BOOT=" + file}, binaries.Daemon, "platform")
	is.NoErr(err)
	t.Cleanup(p.Kill)
	address := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
	awaitStatus(t, "http://"+address(readyPort)+"/api/ready", http.StatusOK)
	return system{
		Process: p, memoryMB: platformMemoryMB, fds: platformFDs,
		addresses: map[listener]string{
			callers: address(callerPort), ready: address(readyPort), peers: address(peerPort), metrics: address(metricsPort),
		},
		ordinary: func() (*http.Request, error) {
			r, err := http.NewRequest(http.MethodPost, "http://"+address(callerPort)+"/jobs/00000000000000ff", smallJob())
			if err == nil {
				r.Host = "jobs.example"
			}
			return r, err
		},
	}
}

// jobHead begins a submission on the platform.
const jobHead = "POST /jobs/0000000000000001 HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"

// Guards against an instance on the platform that runs out of memory or descriptors, or stops answering, since clients
// send bodies of legal size and stay open, or send many headers, or only connect.
func TestCrowdsOnThePlatform(t *testing.T) {
	body := largeJob(platformMaxBody)
	steps := manySteps(platformMaxBody)
	for _, c := range []crowdCase{
		{callers, wholeBodies(jobHead, body, 300)},
		{callers, piecewiseBodies(jobHead, body, 300)},
		{callers, chunkedBodies(jobHead, "large chunks", body, 64<<10, 300)},
		{callers, chunkedBodies(jobHead, "tiny chunks", body, 1, 300)},
		{callers, endedBodies(jobHead, steps, 40)},
		{callers, headerFlood("GET /jobs/0000000000000001 HTTP/1.1\r\nHost: jobs.example\r\n", 300)},
		{callers, legalHeaders("GET /jobs/0000000000000001 HTTP/1.1\r\nHost: jobs.example\r\n", 500)},
		{callers, idleConnections("GET /jobs/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n", 700)},
		{ready, headerFlood("GET /api/ready HTTP/1.1\r\nHost: a\r\n", 300)},
		{ready, idleConnections("GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n", 700)},
		{peers, peerMessages(100)},
		{metrics, headerFlood("GET /metrics HTTP/1.1\r\nHost: a\r\n", 300)},
		{metrics, idleConnections("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", 700)},
	} {
		t.Run(c.name(), func(t *testing.T) { checkCrowd(t, startOnPlatform(t), c) })
	}
}

// Guards against a bound that a client inside the limits meets: a single submission of the largest size, sent in small
// pieces, is accepted while nothing else is going on, whether or not the caller says how long it waits.
func TestOneLargeSlowSubmissionIsServedInCalm(t *testing.T) {
	for _, header := range []string{"", "X-Deadline: 20000\r\n"} {
		t.Run(header, func(t *testing.T) {
			is := is.New(t)
			s := startOnPlatform(t)
			status, err := sendSlowly(s.addresses[callers], jobHead+header, largeJob(platformMaxBody))
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		})
	}
}
