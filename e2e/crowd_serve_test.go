package e2e

import (
	"bytes"
	"context"
	"net"
	"os"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/internal/caller"
	"github.com/pepperhatch/pepperhatch/internal/claim"
)

// Requests of crowds at the interface for callers, and the largest body there in bytes.
const (
	callOne   = "POST /pepperhatch.v1.CallerService/Call"
	protoType = "Content-Type: application/proto\r\n"
	callBody  = 1 << 20
	// devMemoryMB is the memory of the machine that runs a whole deployment in one process.
	devMemoryMB = 512
)

// call sends one ordinary call to an address and reports whether it was answered.
func call(ct *crowdTarget, addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crowdDial)
	defer cancel()
	req := &pb.CallRequest{Id: claim.NewID(""), Service: "routedesk", Method: "leg-recalc", Body: []byte("next turn"), DeadlineMs: 2000}
	_, err := caller.New(ct.web, addr).Call(ctx, req)
	return err == nil
}

// startServeTarget starts a cluster of entry hosts, of which the first one is the target.
func startServeTarget(c *qt.C) *crowdTarget {
	cl := startCluster(c, memoryEnv(crowdMemoryMB, crowdMaxFDs)...)
	cl.web.Timeout = crowdDial
	ct := &crowdTarget{cluster: cl, process: cl.entries[0], memoryMB: crowdMemoryMB, maxFDs: crowdMaxFDs}
	ct.ordinary = func() bool { return call(ct, ct.addrs[0]) }
	ct.await("an ordinary request is served before the crowd", ct.ordinary)
	return ct
}

// TestCrowdAtServe guards against clients of any address that end a host run by serve.
func TestCrowdAtServe(t *testing.T) {
	for _, cc := range []struct {
		name  string
		addr  int
		crowd crowd
	}{
		{"announced bodies that stop short", 0, crowd{clients: 200, request: callOne, headers: protoType, framing: framing{announced: callBody, sent: callBody - 1, piece: 64 << 10}}},
		{"chunks that stop short", 0, crowd{clients: 200, request: callOne, headers: protoType, framing: framing{announced: -1, sent: callBody - 1, piece: 64 << 10, chunk: 32 << 10}}},
		{"headers without end", 0, crowd{clients: 1000, request: "GET /healthz", headers: "X-Filler: " + string(bytes.Repeat([]byte("x"), 60<<10)), framing: framing{piece: 4096}}},
		{"messages of other hosts", 1, crowd{clients: 60, request: "POST /peer/hello", framing: framing{announced: 8 << 20, sent: 8<<20 - 1, piece: 64 << 10}}},
		{"operators", 2, crowd{clients: 90, request: "POST /pepperhatch.v1.OperatorService/Plan", headers: protoType, framing: framing{announced: callBody, sent: callBody - 1, piece: 64 << 10}}},
	} {
		t.Run(cc.name, func(t *testing.T) {
			ct := startServeTarget(qt.New(t))
			ct.serve(cc.crowd, ct.addrs[cc.addr])
		})
	}
}

// streamsOnEach is the number of streams that a client of an HTTP/2 crowd opens.
const streamsOnEach = 100

// TestCrowdOfStreams guards against HTTP/2 clients that open many streams on each connection and send
// the start of a body on each.
func TestCrowdOfStreams(t *testing.T) {
	ct := startServeTarget(qt.New(t))
	conns := make([]net.Conn, 0, 20)
	for range cap(conns) {
		conn, err := net.DialTimeout("tcp", ct.addrs[0], crowdDial)
		ct.c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
		_ = conn.SetDeadline(time.Now().Add(crowdHold))
		openStreams(conn)
	}
	ct.maxOpen = ct.openDescriptors()
	time.Sleep(crowdHold)
	ct.checkBounds()
}

// openStreams opens streams and sends as much of a body on each as the peer may allow by default.
func openStreams(conn net.Conn) {
	_, _ = conn.Write([]byte(http2.ClientPreface))
	fr := http2.NewFramer(conn, conn)
	_ = fr.WriteSettings()
	_ = fr.WriteSettingsAck()
	go func() {
		for {
			if _, err := fr.ReadFrame(); err != nil {
				return
			}
		}
	}()
	for i := range streamsOnEach {
		var block bytes.Buffer
		enc := hpack.NewEncoder(&block)
		for _, field := range [][2]string{
			{":method", "POST"}, {":scheme", "http"}, {":authority", "x"}, {":path", "/pepperhatch.v1.CallerService/Call"},
			{"content-type", "application/proto"}, {"content-length", "1048576"},
		} {
			_ = enc.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
		}
		id := uint32(2*i + 1)
		if fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndHeaders: true}) != nil {
			return
		}
		for range 3 {
			if fr.WriteData(id, false, make([]byte, 16<<10)) != nil {
				return
			}
		}
	}
}

// callerAddr matches the address for callers in the output of dev.
var callerAddr = regexp.MustCompile(`callers ([0-9.:]+),`)

// TestCrowdAtDev guards against clients that end a process which runs a whole deployment.
func TestCrowdAtDev(t *testing.T) {
	c := qt.New(t)
	ct := &crowdTarget{cluster: newJobCluster(c).cluster, memoryMB: devMemoryMB, maxFDs: 4 * crowdMaxFDs}
	ct.web.Timeout = crowdDial
	ct.process = ct.startWithEnv(memoryEnv(ct.memoryMB, ct.maxFDs), "pepperhatch", "dev", "dev", "--rate", "20")
	var addr string
	ct.await("dev prints its addresses", func() bool {
		out, err := os.ReadFile(ct.dir + "/dev.out")
		found := callerAddr.FindSubmatch(out)
		if err != nil || found == nil {
			return false
		}
		addr = string(found[1])
		return true
	})
	ct.ordinary = func() bool { return call(ct, addr) }
	ct.await("an ordinary request is served before the crowd", ct.ordinary)
	ct.serve(crowd{clients: 400, request: callOne, headers: protoType, framing: framing{announced: callBody, sent: callBody - 1, piece: 64 << 10}}, addr)
}
