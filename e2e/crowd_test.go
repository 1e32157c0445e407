package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/jobhost"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/platform/platformtest"
)

// The machine of a host that a crowd connects to.
const (
	crowdMemoryMB = 64
	crowdMaxFDs   = 800
)

// blankBody is the number of blanks, in bytes, of which bodies without other content consist. No chunk
// is larger.
const blankBody = 128 << 10

// Times of a crowd.
const (
	// crowdHold is how long the clients of a crowd keep their connections open after the last
	// byte: over the time limits of bodies.
	crowdHold = 12 * time.Second
	// crowdDial bounds opening a connection and each write.
	crowdDial = 5 * time.Second
)

// framing is how a client sends the body of a request.
type framing struct {
	// announced is the Content-Length, or -1 for a chunked body.
	announced int64
	// sent is the number of bytes of the body that are sent; without end, nothing follows them.
	sent int64
	end  bool
	// piece is the size of a write, and chunk that of a chunk, in bytes.
	piece, chunk int
	// extension follows the size of each chunk, trailer the last one.
	extension, trailer string
}

// crowd is a number of clients that send the same request, each on its own connection.
type crowd struct {
	clients int
	// request is the method and the path, headers the other lines of the head, each with its end.
	// Without a request, clients send nothing.
	request, headers string
	framing          framing
	// fill returns the content of a body of n bytes, of which a client may send less.
	fill func(n int64) []byte
	// unread makes clients send the request again and again and read no answer.
	unread bool
}

// write sends the request of one client.
func (cr *crowd) write(conn net.Conn, body []byte) error {
	fr := cr.framing
	if cr.request == "" {
		return nil
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s HTTP/1.1\r\nHost: depot\r\n%s", cr.request, cr.headers)
	switch {
	case fr.announced < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case fr.announced > 0:
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", fr.announced)
	case fr.end:
		head.WriteString("\r\n")
	}
	wr := bufio.NewWriterSize(deadlineWriter{conn}, max(fr.piece, 512))
	_, err := wr.Write(head.Bytes())
	for left := fr.sent; left > 0 && err == nil; {
		at := (fr.sent - left) % int64(len(body))
		n := min(left, int64(len(body))-at)
		if fr.announced < 0 {
			n = min(n, int64(fr.chunk))
			_, _ = fmt.Fprintf(wr, "%x%s\r\n", n, fr.extension)
		}
		_, err = wr.Write(body[at : at+n])
		if fr.announced < 0 {
			_, _ = wr.WriteString("\r\n")
		}
		left -= n
	}
	if fr.end && fr.announced < 0 {
		_, _ = fmt.Fprintf(wr, "0\r\n%s\r\n", fr.trailer)
	}
	if err != nil {
		return err
	}
	return wr.Flush()
}

// deadlineWriter bounds each write to a connection.
type deadlineWriter struct{ conn net.Conn }

func (dw deadlineWriter) Write(data []byte) (int, error) {
	if err := dw.conn.SetWriteDeadline(time.Now().Add(crowdDial)); err != nil {
		return 0, err
	}
	return dw.conn.Write(data)
}

// run lets all clients send their request to addr at the same time and stay until the host closes
// their connections, crowdHold at most. It returns the number of answers by status, with 0 for none.
func (cr *crowd) run(c *qt.C, addr string) map[int]int {
	body := bytes.Repeat([]byte(" "), blankBody)
	if cr.fill != nil {
		body = cr.fill(max(cr.framing.announced, cr.framing.sent))
	}
	var mu sync.Mutex
	answers := map[int]int{}
	var wg sync.WaitGroup
	for range cr.clients {
		wg.Go(func() {
			status := cr.client(addr, body)
			mu.Lock()
			defer mu.Unlock()
			answers[status]++
		})
	}
	wg.Wait()
	c.Logf("answers %v", answers)
	return answers
}

// client runs one client and returns the status of the first answer, or 0.
func (cr *crowd) client(addr string, body []byte) int {
	conn, err := net.DialTimeout("tcp", addr, crowdDial)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	if cr.unread {
		// Until the host closes the connection or stops reading.
		for end := time.Now().Add(crowdHold); time.Now().Before(end) && cr.write(conn, body) == nil; {
		}
		return 0
	}
	_ = cr.write(conn, body)
	_ = conn.SetReadDeadline(time.Now().Add(crowdHold))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// memoryEnv are the settings of a machine's size, as variables.
func memoryEnv(memoryMB, maxFDs int) []string {
	return []string{fmt.Sprintf("PEPPERHATCH_MEMORY_MB=%d", memoryMB), fmt.Sprintf("PEPPERHATCH_MAX_FDS=%d", maxFDs)}
}

// crowdTarget is a process that crowds connect to, on a machine of known size.
type crowdTarget struct {
	*cluster
	*process

	memoryMB, maxFDs int
	// maxOpen is the highest number of open descriptors that was seen.
	maxOpen int
	// ordinary sends one ordinary request and reports whether it was served.
	ordinary func() bool
	jobs     int
}

// startCrowdTarget starts a host for jobs, its store and its workers.
func startCrowdTarget(c *qt.C) *crowdTarget {
	ct := &crowdTarget{cluster: &cluster{c: c, dir: c.TempDir(), web: &http.Client{Timeout: crowdDial}}, memoryMB: crowdMemoryMB, maxFDs: crowdMaxFDs}
	var table standin.Table
	var fleet standin.Fleet
	st := httptest.NewServer(platformtest.Store(&table))
	c.Cleanup(func() { st.CloseClientConnections(); st.Close() })
	end, err := platformtest.Fleet(&fleet, &table, 4, "routedesk", dataCentres[0])
	c.Cleanup(end)
	c.Assert(err, qt.IsNil)
	queue := map[string]any{"name": "q", "host": "depot", "path-prefix": "/depot/", "service": "routedesk", "max-attempts": 2}
	c.Assert(platformtest.Put(&table, "op//config", map[string]any{"version": 1, "routes": []any{queue}}), qt.IsNil)
	ip := freeIP(c)
	addrs := [3]string{freeAddrAt(c, ip), freeAddrAt(c, ip), freeAddrAt(c, ip)}
	port := int(netip.MustParseAddrPort(addrs[1]).Port())
	data, err := json.Marshal(jobhost.Settings{
		Name: "e1", DataCentre: dataCentres[0], IP: ip, Ports: []int{port, port}, CallerAddr: addrs[0], ReadyAddr: addrs[2], StoreAddr: st.Listener.Addr().String(),
		Cores: 1, MaxLeaseMS: float64(maxLease.Milliseconds()), StopMS: 900, GraceS: 6, KeepEndedS: 120, HarmMS: float64(harmAfter.Milliseconds()), PaceMS: float64(paceDelay.Milliseconds()),
	})
	c.Assert(err, qt.IsNil)
	path := filepath.Join(ct.dir, "e1.json")
	c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
	ct.process = ct.startWithEnv(memoryEnv(ct.memoryMB, ct.maxFDs), "pepperhatch", "e1", "run", "--settings", path)
	ct.addrs = addrs
	ct.ordinary = ct.submitJob
	ct.await("an ordinary request is served before the crowd", ct.ordinary)
	return ct
}

// submitJob submits a small job as a caller and reports whether it was accepted.
func (ct *crowdTarget) submitJob() bool {
	ct.jobs++
	body := `{"spec":"load it","steps":[{"count":1,"cpu":10,"mem-mb":1,"estimate-ms":10}]}`
	return ct.post(fmt.Sprintf("/depot/%016x", ct.jobs), body) == http.StatusOK
}

// post sends a request to the callers' address and returns the status, or 0.
func (ct *crowdTarget) post(path, body string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+ct.addrs[0]+path, strings.NewReader(body))
	ct.c.Assert(err, qt.IsNil)
	req.Host = "depot"
	resp, err := ct.web.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// serve lets a crowd run against an address of the process, and checks what must hold during and
// after it: the process lives, stays within the memory and the descriptors of its machine, and then
// serves an ordinary request.
func (ct *crowdTarget) serve(cr crowd, addr string) map[int]int {
	ct.c.Helper()
	over := make(chan struct{})
	var sampled sync.WaitGroup
	sampled.Go(func() {
		for {
			ct.maxOpen = max(ct.maxOpen, ct.openDescriptors())
			select {
			case <-over:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	answers := cr.run(ct.c, addr)
	close(over)
	sampled.Wait()
	ct.checkBounds()
	return answers
}

// checkBounds checks that the process lives, has stayed within its bounds and serves a request.
func (ct *crowdTarget) checkBounds() {
	ct.c.Helper()
	peak := ct.peakMemoryMB()
	ct.c.Logf("peak of memory %d MB, of descriptors %d", peak, ct.maxOpen)
	ct.c.Assert(peak > 0, qt.IsTrue, qt.Commentf("the process has ended"))
	ct.c.Check(peak <= ct.memoryMB, qt.IsTrue, qt.Commentf("%d MB of %d", peak, ct.memoryMB))
	ct.c.Check(ct.maxOpen <= ct.maxFDs, qt.IsTrue, qt.Commentf("%d descriptors of %d", ct.maxOpen, ct.maxFDs))
	ct.await("an ordinary request is served after the crowd", ct.ordinary)
	ct.c.Check(ct.peakMemoryMB() > 0, qt.IsTrue, qt.Commentf("the process has ended"))
}

// peakMemoryMB returns the highest resident size of the process so far, or 0 if it has ended.
func (pr *process) peakMemoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pr.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb / 1024
		}
	}
	return 0
}

// openDescriptors returns the number of open descriptors of the process.
func (pr *process) openDescriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pr.Process.Pid))
	return len(list)
}

// repeatTo returns text between prefix and suffix, repeated to at most n bytes, and padded with
// blanks to n bytes.
func repeatTo(n int64, prefix, text, suffix string) []byte {
	times := max(0, (int(n)-len(prefix)-len(suffix))/len(text))
	data := slices.Concat([]byte(prefix), bytes.Repeat([]byte(text), times), []byte(suffix))
	return append(data, bytes.Repeat([]byte(" "), max(0, int(n)-len(data)))...)
}

// emptySteps is a job with as many empty steps as fit into n bytes.
func emptySteps(n int64) []byte { return repeatTo(n, `{"steps":[`, `{},`, `{}]}`) }

// paddedJob is a valid job, padded with blanks.
func paddedJob(n int64) []byte {
	return repeatTo(n, `{"spec":"x","steps":[{"count":1,"cpu":10,"mem-mb":1}]}`, " ", "")
}

// inCrowdCase runs a subtest against a process of its own.
func inCrowdCase(t *testing.T, name string, fn func(*crowdTarget)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { fn(startCrowdTarget(qt.New(t))) })
}
