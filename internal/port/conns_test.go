package port

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// testTable returns a table with n connections, each of which has been silent for a second less than
// the one before.
func testTable(most, n int) (*connTable, []*conn) {
	ct := &connTable{max: most}
	var list []*conn
	for range n {
		server, _ := net.Pipe()
		co, _ := ct.add(server)
		list = append(list, co)
		time.Sleep(time.Second)
	}
	return ct, list
}

// receive makes a connection receive a part of a request.
func (co *conn) receive(n int64) {
	co.phase.Store(int32(phaseReceiving))
	co.received.Add(n)
	co.last.Store(int64(time.Since(processStart)))
}

// TestConnectionWithLeastProgressIsClosed guards against limits that keep out who comes last.
func TestConnectionWithLeastProgressIsClosed(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(list []*conn)
		closed  int
		reason  string
	}{
		{"longest idle", func([]*conn) {}, 0, closeIdle},
		{"stopped before idle", func(list []*conn) { list[2].receive(1); time.Sleep(stoppedAfter) }, 2, closeStopped},
		{"stopped before slow", func(list []*conn) {
			list[1].receive(1)
			time.Sleep(slowAfter)
			list[2].receive(1)
			list[2].phase.Store(int32(phaseReceiving))
		}, 1, closeStopped},
		{"slowest", func(list []*conn) {
			for i, co := range list {
				co.enter(phaseReceiving)
				co.receive(int64(1000 - i))
			}
			time.Sleep(slowAfter)
			for _, co := range list {
				co.receive(1)
			}
		}, 2, closeSlow},
		{"none that is served", func(list []*conn) {
			for _, co := range list {
				co.enter(phaseServing)
			}
			time.Sleep(time.Minute)
		}, -1, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ct, list := testTable(3, 3)
				tc.prepare(list)
				server, _ := net.Pipe()
				co, reason := ct.add(server)
				qt.Check(t, reason, qt.Equals, tc.reason)
				qt.Check(t, co != nil, qt.Equals, tc.closed >= 0)
				qt.Check(t, len(ct.conns), qt.Equals, 3)
				for i, old := range list {
					qt.Check(t, ct.conns[old], qt.Equals, i != tc.closed, qt.Commentf("connection %d", i))
				}
			})
		})
	}
}

// testMachine has memory for two bodies of testBody bytes, and then none for an ordinary one but that
// for small ones only.
var testMachine = Machine{Memory: MinMemory, Descriptors: 1000}

const (
	testBody     = 255 << 10
	ordinaryBody = 2 << 10
)

// testLimits are the limits of a port on testMachine.
func testLimits() Limits {
	return Limits{Name: "test", Process: NewProcess(testMachine, nil, nil), MaxConns: 100, MaxBody: testBody, ReadTimeout: time.Minute}
}

// readAll is a handler that reads the body.
func readAll(w http.ResponseWriter, r *http.Request) {
	if _, err := wire.ReadAll(r.Body, r.ContentLength, testBody); err != nil {
		wire.WriteError(w, &wire.Error{Status: http.StatusBadRequest, Code: wire.CodeMalformed, Message: err.Error()})
	}
}

// post sends the head of a request and a part of its body, and returns the connection.
func post(c *qt.C, url, head string, body int) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+head+"\r\n\r\n"+strings.Repeat("x", body))
	c.Assert(err, qt.IsNil)
	return conn
}

// readStatus returns the status of the answer on a connection and whether that is kept, or 0.
func readStatus(conn net.Conn) (status int, kept bool) {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, !resp.Close
}

// announced is the header of a body of testBody bytes.
var announced = fmt.Sprintf("Content-Length: %d", testBody)

// openFull serves a port whose general share two bodies hold that have just begun to arrive, and returns
// its URL.
func openFull(c *qt.C, lim Limits) string {
	url := open(c, readAll, lim)
	for range 2 {
		post(c, url, announced, 1)
	}
	pool := lim.Process.general
	eventually(c, func() bool { return pool.held.Load() > pool.size/2 })
	return url
}

// TestBodiesOverTheBudgetAreRefused guards against bodies that hold more than the process may.
func TestBodiesOverTheBudgetAreRefused(t *testing.T) {
	t.Run("large ones, while small ones are served", func(t *testing.T) {
		c := qt.New(t)
		lim := testLimits()
		url := openFull(c, lim)
		status3, kept := readStatus(post(c, url, announced, 0))
		c.Check(status3, qt.Equals, http.StatusServiceUnavailable)
		c.Check(kept, qt.IsFalse)
		c.Check(status(c, url, strings.NewReader(strings.Repeat("x", ordinaryBody))), qt.Equals, http.StatusOK)
	})
	t.Run("unless others have stopped", func(t *testing.T) {
		c := qt.New(t)
		lim := testLimits()
		url := open(c, readAll, lim)
		stopped := []net.Conn{post(c, url, announced, 1), post(c, url, announced, 1)}
		time.Sleep(stoppedAfter + 100*time.Millisecond)
		c.Check(status(c, url, strings.NewReader(strings.Repeat("x", testBody))), qt.Equals, http.StatusOK)
		first, _ := readStatus(stopped[0])
		c.Check(first, qt.Equals, 0)
	})
	t.Run("of unknown length, as soon as they are too large", func(t *testing.T) {
		c := qt.New(t)
		lim := testLimits()
		url := openFull(c, lim)
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", testBody)))
		c.Check(status(c, url, body), qt.Equals, http.StatusServiceUnavailable)
	})
	t.Run("with an answer that arrives, although the client sends on", func(t *testing.T) {
		c := qt.New(t)
		lim := testLimits()
		url := openFull(c, lim)
		conn := post(c, url, "Transfer-Encoding: chunked", 0)
		_, err := fmt.Fprintf(conn, "%x\r\n%s", testBody, strings.Repeat("x", testBody/2))
		c.Assert(err, qt.IsNil)
		time.Sleep(lingerTime / 4)
		_, err = io.WriteString(conn, strings.Repeat("x", testBody/4))
		c.Assert(err, qt.IsNil)
		answer, kept := readStatus(conn)
		c.Check(answer, qt.Equals, http.StatusServiceUnavailable)
		c.Check(kept, qt.IsFalse)
	})
	t.Run("and all is given back", func(t *testing.T) {
		c := qt.New(t)
		lim := testLimits()
		url := open(c, readAll, lim)
		c.Check(status(c, url, strings.NewReader(strings.Repeat("x", testBody))), qt.Equals, http.StatusOK)
		c.Check(status(c, url, io.MultiReader(strings.NewReader(strings.Repeat("x", testBody)))), qt.Equals, http.StatusOK)
		_ = post(c, url, announced, 1).Close()
		eventually(c, func() bool { return lim.Process.general.held.Load()+lim.Process.small.held.Load() == 0 })
	})
}

// eventually waits until a condition holds.
func eventually(c *qt.C, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// TestLargestBodyIsServedAlone guards against limits that refuse a body although nothing else is held.
func TestLargestBodyIsServedAlone(t *testing.T) {
	c := qt.New(t)
	const large = 1 << 20
	lim := Limits{Process: NewProcess(Machine{Memory: MinMemory}, nil, nil), MaxConns: 10, MaxBody: large}
	url := open(c, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, lim)
	c.Check(status(c, url, strings.NewReader(strings.Repeat("x", large))), qt.Equals, http.StatusOK)
	c.Check(status(c, url, io.MultiReader(strings.NewReader(strings.Repeat("x", large)))), qt.Equals, http.StatusOK)
	c.Check(lim.Process.largestBody() < 2*large, qt.IsTrue)
	lim.Peers = true
	c.Check(status(c, open(c, readAll, lim), strings.NewReader(strings.Repeat("x", testBody))), qt.Equals, http.StatusOK)
}

// TestRefusedAtConnectionLimit guards against clients that wait in the queue of the kernel.
func TestRefusedAtConnectionLimit(t *testing.T) {
	c := qt.New(t)
	gate := make(chan struct{})
	entered := make(chan struct{}, 2)
	url := open(c, func(http.ResponseWriter, *http.Request) { entered <- struct{}{}; <-gate }, Limits{MaxConns: 2})
	defer close(gate)
	for range 2 {
		post(c, url, "Content-Length: 0", 0)
		<-entered
	}
	answer, _ := readStatus(post(c, url, "Content-Length: 0", 0))
	c.Check(answer, qt.Equals, http.StatusServiceUnavailable)
}

// TestServedStreamsAreNotClosed guards against HTTP/2 connections that count as stopped while their
// requests are served.
func TestServedStreamsAreNotClosed(t *testing.T) {
	c := qt.New(t)
	gate, entered := make(chan struct{}), make(chan struct{}, 1)
	url := open(c, func(http.ResponseWriter, *http.Request) { entered <- struct{}{}; <-gate }, Limits{MaxConns: 1})
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	cl := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	served := make(chan error)
	go func() {
		resp, err := cl.Get(url)
		if err == nil {
			_ = resp.Body.Close()
		}
		served <- err
	}()
	<-entered
	time.Sleep(stoppedAfter + 100*time.Millisecond)
	answer, _ := readStatus(post(c, url, "Content-Length: 0", 0))
	c.Check(answer, qt.Equals, http.StatusServiceUnavailable)
	close(gate)
	c.Check(<-served, qt.IsNil)
}

// TestSmallWindow guards against bytes that the kernel holds for the process without a limit.
func TestSmallWindow(t *testing.T) {
	c := qt.New(t)
	po, err := Listen("127.0.0.1:0", Limits{MaxConns: 1, SmallWindow: true})
	c.Assert(err, qt.IsNil)
	defer func() { _ = po.Stop(context.Background()) }()
	client, err := net.Dial("tcp", po.Addr)
	c.Assert(err, qt.IsNil)
	defer func() { _ = client.Close() }()
	nc, err := po.ln.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = nc.Close() }()
	c.Check(receiveBuffer(c, nc) <= connBytes, qt.IsTrue)
}

// receiveBuffer returns the size of the receive buffer of an accepted connection.
func receiveBuffer(c *qt.C, nc net.Conn) int {
	rc, err := nc.(*conn).Conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	size := 0
	c.Assert(rc.Control(func(fd uintptr) {
		size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	}), qt.IsNil)
	c.Assert(err, qt.IsNil)
	return size
}
