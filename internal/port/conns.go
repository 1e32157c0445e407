package port

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// phase is what a connection is used for.
type phase int32

// The phases of a connection.
const (
	// phaseIdle: no byte of the next request has arrived.
	phaseIdle phase = iota
	// phaseReceiving: part of a request has arrived.
	phaseReceiving
	// phaseServing: a request is complete, or lasts as long as its connection.
	phaseServing
)

// Times after which a request that is not complete makes too little progress to be preferred to
// others.
const (
	stoppedAfter = time.Second
	slowAfter    = 2 * time.Second
)

// processStart is the zero of the monotonic times of connections.
var processStart = time.Now()

// conn is a connection of a port, with the progress of the request on it. A nil conn records
// nothing.
type conn struct {
	net.Conn

	table *connTable
	phase atomic.Int32
	// since is when the phase began and last when the last byte arrived, both since processStart;
	// received counts the bytes of the phase.
	since, last, received atomic.Int64
	// held is what the request on the connection has reserved, or nil.
	held atomic.Pointer[reservation]
}

// Read implements net.Conn.
func (co *conn) Read(data []byte) (int, error) {
	n, err := co.Conn.Read(data)
	if n > 0 {
		now := int64(time.Since(processStart))
		co.last.Store(now)
		if co.phase.CompareAndSwap(int32(phaseIdle), int32(phaseReceiving)) {
			co.since.Store(now)
			co.received.Store(0)
		}
		co.received.Add(int64(n))
	}
	return n, err
}

// Close implements net.Conn.
func (co *conn) Close() error {
	co.table.remove(co)
	return co.Conn.Close()
}

// CloseWrite closes the sending side, which net/http uses so that an answer arrives although the
// request was not read to its end.
func (co *conn) CloseWrite() error {
	if tc, ok := co.Conn.(interface{ CloseWrite() error }); ok {
		return tc.CloseWrite()
	}
	return errors.ErrUnsupported
}

// enter records that the connection is in a phase from now on.
func (co *conn) enter(ph phase) {
	if co == nil {
		return
	}
	now := int64(time.Since(processStart))
	co.phase.Store(int32(ph))
	co.since.Store(now)
	co.last.Store(now)
	co.received.Store(0)
}

// hold records what the request on the connection has reserved.
func (co *conn) hold(re *reservation) {
	if co != nil {
		co.held.Store(re)
	}
}

// Reasons why a connection is closed for others, in the order in which they are preferred.
const (
	closeStopped = "stopped"
	closeSlow    = "slow"
	closeIdle    = "idle"
)

// closeOrder has the order of reasons. Connections with a complete request are not closed.
var closeOrder = map[string]int{closeStopped: 1, closeSlow: 2, closeIdle: 3}

// standing returns why the connection may be closed at a time since processStart, or "" if it may
// not be. Among those with the same reason, the one with the highest weight is closed first.
func (co *conn) standing(now int64) (reason string, weight float64) {
	silent := now - co.last.Load()
	switch phase(co.phase.Load()) {
	case phaseIdle:
		return closeIdle, float64(silent)
	case phaseReceiving:
		age := now - co.since.Load()
		if silent >= int64(stoppedAfter) {
			return closeStopped, float64(silent)
		}
		if age >= int64(slowAfter) {
			return closeSlow, -float64(co.received.Load()) / float64(age)
		}
	}
	return "", 0
}

// connTable has the open connections of a port, and bounds their number.
type connTable struct {
	max int

	mu    sync.Mutex
	conns map[*conn]bool
}

// add adds a connection. At the limit it closes the connection with the least progress, and reports
// why; it adds nothing if there is none that may be closed.
func (ct *connTable) add(nc net.Conn) (co *conn, closed string) {
	co = &conn{Conn: nc, table: ct}
	co.enter(phaseIdle)
	ct.mu.Lock()
	var last *conn
	if len(ct.conns) >= ct.max {
		if last, closed = ct.leastProgress(func(*conn) bool { return true }); last == nil {
			ct.mu.Unlock()
			return nil, ""
		}
		delete(ct.conns, last)
	}
	if ct.conns == nil {
		ct.conns = map[*conn]bool{}
	}
	ct.conns[co] = true
	ct.mu.Unlock()
	if last != nil {
		_ = last.Conn.Close()
	}
	return co, closed
}

// leastProgress returns the connection that is closed first among those that eligible accepts, and
// why, or nil. The caller holds the lock.
func (ct *connTable) leastProgress(eligible func(*conn) bool) (least *conn, reason string) {
	now := int64(time.Since(processStart))
	var most float64
	for co := range ct.conns {
		re, weight := co.standing(now)
		if re == "" || !eligible(co) {
			continue
		}
		first := least == nil || closeOrder[re] < closeOrder[reason]
		if first || re == reason && weight > most {
			least, reason, most = co, re, weight
		}
	}
	return least, reason
}

func (ct *connTable) remove(co *conn) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	delete(ct.conns, co)
}

// count returns the number of connections by phase.
func (ct *connTable) count() map[phase]int64 {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	counts := map[phase]int64{}
	for co := range ct.conns {
		counts[phase(co.phase.Load())]++
	}
	return counts
}

// Limits of connections that are refused.
const (
	// maxRefusing bounds the connections that wait for their client to read the refusal; others
	// are closed at once.
	maxRefusing   = 16
	refuseTimeout = 300 * time.Millisecond
)

// refusal is the answer on a connection over the limit, in the form of [wire.WriteError].
var refusal = func() string {
	body := fmt.Sprintf(`{"code":%q,"message":"too many connections","retry_after_ms":%d}`, wire.CodeBusy, busyRetryAfter.Milliseconds())
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.0f\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		busyRetryAfter.Seconds(), len(body), body)
}()

// listener accepts the connections of a port. It goes on accepting at the limit, as clients would
// wait in the queue of the kernel otherwise.
type listener struct {
	net.Listener

	po       *Port
	refusing chan struct{}
}

// Accept implements net.Listener.
func (li *listener) Accept() (net.Conn, error) {
	for {
		nc, err := li.Listener.Accept()
		if err != nil {
			return nil, err
		}
		co, closed := li.po.conns.add(nc)
		if closed != "" {
			li.po.process.recordClosed(li.po.name, closed)
		}
		if co != nil {
			return co, nil
		}
		li.po.process.recordRefusal(li.po.name, refuseConns)
		li.refuse(nc)
	}
}

// refuse answers and closes a connection.
func (li *listener) refuse(nc net.Conn) {
	select {
	case li.refusing <- struct{}{}:
	default:
		_ = nc.Close()
		return
	}
	go func() {
		defer func() { <-li.refusing }()
		defer func() { _ = nc.Close() }()
		_ = nc.SetDeadline(time.Now().Add(refuseTimeout))
		if _, err := io.WriteString(nc, refusal); err != nil {
			return
		}
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.CloseWrite()
		}
		// Closing with bytes that were not read would take the answer from the client.
		_, _ = io.CopyN(io.Discard, nc, connBytes)
	}()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of an HTTP/1 request, or nil.
func connOf(r *http.Request) *conn {
	if r.ProtoMajor != 1 {
		return nil
	}
	co, _ := r.Context().Value(connKey{}).(*conn)
	return co
}
