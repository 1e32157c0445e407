package e2e

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
)

const (
	// legalBody is the largest body that callers may send, in bytes.
	legalBody = 262_144
	submitOne = "POST /depot/ffffffffffffffff"
)

// callerCrowds are crowds at the address for callers.
var callerCrowds = []struct {
	name  string
	crowd crowd
}{
	{"announced bodies that stop short", crowd{clients: 300, request: submitOne, framing: framing{announced: legalBody, sent: legalBody - 1, piece: legalBody}}},
	{"bodies in small pieces that stop short", crowd{clients: 300, request: submitOne, framing: framing{announced: legalBody, sent: legalBody - 1, piece: 4096}}},
	{"large chunks that stop short", crowd{clients: 300, request: submitOne, framing: framing{announced: -1, sent: legalBody - 1, piece: 32 << 10, chunk: 32 << 10}}},
	{"a byte a chunk that stops short", crowd{clients: 300, request: submitOne, framing: framing{announced: -1, sent: legalBody - 1, piece: 32 << 10, chunk: 1}}},
	{"whole legal jobs", crowd{clients: 1000, request: submitOne, framing: framing{announced: legalBody, sent: legalBody, end: true, piece: legalBody}, fill: paddedJob}},
	{"ordinary bodies that stop short", crowd{clients: 1500, request: submitOne, framing: framing{announced: 10_000, sent: 9_999, piece: 10_000}}},
	{"empty steps", crowd{clients: 20, request: submitOne, framing: framing{announced: legalBody, sent: legalBody, end: true, piece: legalBody}, fill: emptySteps}},
	{"null steps", crowd{clients: 60, request: submitOne, framing: framing{announced: legalBody, sent: legalBody, end: true, piece: legalBody}, fill: func(n int64) []byte {
		return repeatTo(n, `{"steps":[`, `null,`, `null]}`)
	}}},
	{"numbers of steps to wait for", crowd{clients: 300, request: submitOne, framing: framing{announced: legalBody, sent: legalBody, end: true, piece: legalBody}, fill: func(n int64) []byte {
		return repeatTo(n, `{"steps":[{"count":1,"start-after":[`, `0,`, `0]}]}`)
	}}},
	{"text that grows when it is encoded", crowd{clients: 300, request: submitOne, framing: framing{announced: legalBody, sent: legalBody, end: true, piece: legalBody}, fill: func(n int64) []byte {
		return repeatTo(n, `{"steps":[{"count":1,"image":"`, `<`, `"}]}`)
	}}},
	{"a number of many digits", crowd{clients: 300, request: submitOne, framing: framing{announced: legalBody, sent: legalBody, end: true, piece: legalBody}, fill: func(n int64) []byte {
		return repeatTo(n, `{"steps":[{"count":`, `1`, `}]}`)
	}}},
	{"bodies far over the limit, announced", crowd{clients: 1000, request: submitOne, framing: framing{announced: 4 << 30, sent: 1 << 20, piece: 64 << 10}}},
	{"chunks without end", crowd{clients: 1000, request: submitOne, framing: framing{announced: -1, sent: 8 << 20, piece: 64 << 10, chunk: 64 << 10}}},
	{"headers without end", crowd{clients: 1500, request: "GET /depot/", headers: "X-Filler: " + strings.Repeat("x", 16<<10), framing: framing{piece: 4096}}},
	{"connections without a request", crowd{clients: 1500, request: "", framing: framing{}}},
	{"answers that nobody reads", crowd{clients: 600, request: "GET /depot/", framing: framing{end: true}, unread: true}},
	{"bodies for a queue that does not exist", crowd{clients: 1000, request: "POST /lost/ffffffffffffffff", framing: framing{announced: legalBody, sent: legalBody - 1, piece: legalBody}}},
}

// TestCrowdOfCallers guards against callers that end the process, or keep ordinary callers out, by
// how many they are and by how they send.
func TestCrowdOfCallers(t *testing.T) {
	for _, cc := range callerCrowds {
		inCrowdCase(t, cc.name, func(ct *crowdTarget) { ct.serve(cc.crowd, ct.addrs[0]) })
	}
}

// TestCrowdAtOtherAddresses guards against clients of the addresses that are not for callers.
func TestCrowdAtOtherAddresses(t *testing.T) {
	const peerBody = 8 << 20
	for _, cc := range []struct {
		name  string
		addr  int
		crowd crowd
	}{
		{"bodies for the owner", 1, crowd{clients: 60, request: "POST /cell/submit", framing: framing{announced: peerBody, sent: peerBody - 1, piece: 64 << 10}}},
		{"bodies for the job API", 1, crowd{clients: 60, request: "POST /jobs/submit", framing: framing{announced: peerBody, sent: peerBody - 1, piece: 64 << 10}}},
		{"chunked bodies for the job API", 1, crowd{clients: 60, request: "POST /jobs/submit", framing: framing{announced: -1, sent: peerBody - 1, piece: 64 << 10, chunk: 32 << 10}}},
		{"empty steps for the job API", 1, crowd{clients: 60, request: "POST /jobs/submit", framing: framing{announced: legalBody, sent: legalBody, end: true, piece: legalBody}, fill: func(n int64) []byte {
			return repeatTo(n, `{"id":"ffffffffffffffff","queue":"q","spec":{"steps":[`, `{},`, `{}]}}`)
		}}},
		{"frames without end for the relay", 1, crowd{clients: 60, request: "POST /relay/stream", framing: framing{announced: -1, sent: 16 << 20, piece: 64 << 10, chunk: 32 << 10}, fill: func(n int64) []byte {
			return repeatTo(n, `{"o":[{"text":"`, `x`, ``)
		}}},
		{"connections at the address for readiness", 2, crowd{clients: 1500, request: "GET /pepperhatch/readyz", headers: "X-Filler: " + strings.Repeat("x", 16<<10), framing: framing{piece: 4096}}},
		{"metrics that nobody reads", 3, crowd{clients: 300, request: "GET /metrics", framing: framing{end: true}, unread: true}},
	} {
		inCrowdCase(t, cc.name, func(ct *crowdTarget) {
			host, _, _ := strings.Cut(ct.addrs[0], ":")
			ct.serve(cc.crowd, append(ct.addrs[:], host+":"+metricsPort)[cc.addr])
		})
	}
}

// besideClients is the number of clients that come back as soon as they are closed.
const besideClients = 200

// TestCrowdBesideOrdinaryCallers guards against crowds that keep ordinary callers out by coming back
// as soon as their connections are closed.
func TestCrowdBesideOrdinaryCallers(t *testing.T) {
	for _, cc := range callerCrowds[:7] {
		inCrowdCase(t, cc.name, func(ct *crowdTarget) {
			fill := cc.crowd.fill
			if fill == nil {
				fill = paddedJob
			}
			body := fill(legalBody)
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer cancel()
			for range besideClients {
				wg.Go(func() {
					for ctx.Err() == nil {
						cc.crowd.client(ct.addrs[0], body)
					}
				})
			}
			for range 5 {
				time.Sleep(time.Second)
				ct.maxOpen = max(ct.maxOpen, ct.openDescriptors())
				ct.await("an ordinary request is served beside the crowd", ct.ordinary)
			}
			ct.checkBounds()
		})
	}
}

// TestCrowdIsAbsent guards against limits that refuse a single request inside the users' limits.
func TestCrowdIsAbsent(t *testing.T) {
	ct := startCrowdTarget(qt.New(t))
	ct.c.Check(ct.post("/depot/aaaaaaaaaaaaaaaa", string(paddedJob(legalBody))), qt.Equals, http.StatusOK)
	chunked := crowd{clients: 1, request: "POST /depot/aaaaaaaaaaaaaaab", framing: framing{announced: -1, sent: legalBody, end: true, piece: 4096, chunk: 1000}, fill: paddedJob}
	ct.c.Check(ct.serve(chunked, ct.addrs[0]), qt.DeepEquals, map[int]int{http.StatusOK: 1})
}

// crowdRequests are the requests that clients of each address send.
var crowdRequests = [][]string{
	{submitOne, "POST /lost/x", "PUT /depot/"}, {"POST /cell/submit", "POST /jobs/submit", "POST /relay/stream"}, {"POST /pepperhatch/readyz"}, {"POST /metrics"},
}

// drawnCrowd is a crowd and the index of the address that it connects to.
type drawnCrowd struct {
	crowd
	addr int
}

// drawCrowd draws a crowd with any framing.
func drawCrowd(rt *rapid.T) drawnCrowd {
	size := rapid.SampledFrom([]int64{75, 10_000, 100_000, legalBody, legalBody + 1, 2 << 20, 9 << 20}).Draw(rt, "size")
	fr := framing{announced: size, sent: size, end: rapid.Bool().Draw(rt, "ends"), piece: rapid.SampledFrom([]int{512, 4096, 64 << 10}).Draw(rt, "piece")}
	if rapid.Bool().Draw(rt, "chunked") {
		fr.announced, fr.chunk = -1, rapid.SampledFrom([]int{1, 100, 4096, 128 << 10}).Draw(rt, "chunk")
		fr.extension = rapid.SampledFrom([]string{"", ";x=" + strings.Repeat("y", 200)}).Draw(rt, "extension")
		fr.trailer = rapid.SampledFrom([]string{"", "X-Trailer: " + strings.Repeat("z", 4000) + "\r\n"}).Draw(rt, "trailer")
	}
	if !fr.end {
		fr.sent = size - rapid.Int64Range(1, min(size, 10_000)).Draw(rt, "missing")
	}
	addr := rapid.SampledFrom([]int{0, 0, 0, 1, 1, 2, 3}).Draw(rt, "address")
	return drawnCrowd{addr: addr, crowd: crowd{
		clients: rapid.IntRange(200, 500).Draw(rt, "clients"), framing: fr, request: rapid.SampledFrom(crowdRequests[addr]).Draw(rt, "request"),
		fill: rapid.SampledFrom([]func(int64) []byte{nil, paddedJob, emptySteps}).Draw(rt, "content"),
	}}
}

// randomCrowds is the number of crowds of TestCrowdAtRandom.
const randomCrowds = 8

// TestCrowdAtRandom lets crowds with random framing connect to one process in turn.
func TestCrowdAtRandom(t *testing.T) {
	ct := startCrowdTarget(qt.New(t))
	host, _, _ := strings.Cut(ct.addrs[0], ":")
	addrs := append(ct.addrs[:], host+":"+metricsPort)
	seed, crowds := int(proptest.Seed(t)), rapid.Custom(drawCrowd)
	for i := range randomCrowds {
		dc := crowds.Example(seed + i)
		ct.c.Logf("crowd %d: %d clients, %s, %+v", i, dc.clients, dc.request, dc.framing)
		ct.serve(dc.crowd, addrs[dc.addr])
	}
}
