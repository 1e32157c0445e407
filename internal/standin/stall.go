package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// Stall is a fault in which a peer stops responding at one stage of a connection,
// without a reset. Its text names the subtests of package linetest.
type Stall string

// The stages at which a peer can stall.
const (
	// StallDial: opening a connection hangs.
	StallDial Stall = "dial hangs"
	// StallAccept: the kernel accepts the connection and buffers bytes that the
	// process never reads.
	StallAccept Stall = "accepted but not read"
	// StallAnswer: the request arrives and may be carried out, but no byte of the
	// answer passes.
	StallAnswer Stall = "no answer"
	// StallHeader and StallBody: the answer stops in its header or its body.
	StallHeader Stall = "partial header"
	StallBody   Stall = "partial body"
	// DropRequests and DropAnswers: bytes are dropped in one direction only, as in a
	// one-way network partition.
	DropRequests Stall = "requests lost"
	DropAnswers  Stall = "answers lost"
)

// Stalls lists every stall, for tests to range over.
var Stalls = []Stall{StallDial, StallAccept, StallAnswer, StallHeader, StallBody, DropRequests, DropAnswers}

// partialHeaderBytes is the number of bytes that [StallHeader] lets through. An HTTP
// status line is longer.
const partialHeaderBytes = 12

// passBytes returns how many bytes of data pass, or -1 if the stall doesn't affect
// this direction.
func (st Stall) passBytes(data []byte, fromServer bool) int {
	switch st {
	case StallDial, StallAccept:
		return 0
	case StallAnswer, DropAnswers:
		if fromServer {
			return 0
		}
	case DropRequests:
		if !fromServer {
			return 0
		}
	case StallHeader:
		if fromServer {
			return min(partialHeaderBytes, len(data))
		}
	case StallBody:
		if fromServer {
			return halfBody(data)
		}
	}
	return -1
}

// drops reports whether bytes that don't pass are dropped rather than delayed.
func (st Stall) drops() bool { return st == DropRequests || st == DropAnswers }

// halfBody returns the length of the HTTP header in data plus half of the bytes after
// it. Without the end of a header all of data counts as body.
func halfBody(data []byte) int {
	_, body, found := bytes.Cut(data, []byte("\r\n\r\n"))
	if !found {
		body = data
	}
	return len(data) - (len(body)+1)/2
}

// Stall makes the peer stall at one stage of a connection until [Proxy.Resume].
// Connections that are already open stall too.
func (pr *Proxy) Stall(st Stall) error {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.startStall(st)
	if st != StallDial {
		return nil
	}
	return pr.fillBacklog()
}

// Limits for filling the kernel's accept queue.
const (
	// minBacklog and normalBacklog are lengths of the accept queue, in connections.
	minBacklog    = 0
	normalBacklog = 128
	// maxFillConns is how many connections are opened at most to fill a queue of
	// minBacklog.
	maxFillConns = 16
	// dialTimeout is the longest that opening a connection takes on loopback; one
	// that takes longer means that the queue is full.
	dialTimeout = 150 * time.Millisecond
	// acceptTimeout is how long to wait until the proxy has accepted a connection.
	acceptTimeout = 2 * time.Second
)

// errBacklogNotFull means that maxFillConns connections didn't fill the accept queue.
var errBacklogNotFull = errors.New("accept queue of the listener did not fill up")

// fillBacklog fills the kernel's accept queue. The caller holds pr.mu, so the proxy
// accepts one more connection at most.
func (pr *Proxy) fillBacklog() error {
	if err := pr.setBacklog(minBacklog); err != nil {
		return err
	}
	before := pr.accepted.Load()
	for range maxFillConns {
		full, err := pr.addToBacklog()
		if full || err != nil {
			return err
		}
		// Wait for that accept: it frees a place in a queue that was full before it.
		for end := time.Now().Add(acceptTimeout); pr.accepted.Load() == before && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	return errBacklogNotFull
}

// addToBacklog puts one connection into the accept queue, or reports that it is full.
func (pr *Proxy) addToBacklog() (full bool, err error) {
	di := net.Dialer{Timeout: dialTimeout}
	nc, err := di.DialContext(context.Background(), "tcp", pr.Addr())
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("fill accept queue: %w", err)
	}
	pr.backlog = append(pr.backlog, nc)
	return false, nil
}

// setBacklog sets the length of the kernel's accept queue by another listen(2) call.
func (pr *Proxy) setBacklog(n int) error {
	co, ok := pr.lis.(syscall.Conn)
	if !ok {
		return fmt.Errorf("listener of type %T gives no access to its socket", pr.lis)
	}
	rc, err := co.SyscallConn()
	if err != nil {
		return fmt.Errorf("get socket of listener: %w", err)
	}
	var lerr error
	err = rc.Control(func(fd uintptr) { lerr = syscall.Listen(int(fd), n) })
	if err := errors.Join(err, lerr); err != nil {
		return fmt.Errorf("set length of accept queue: %w", err)
	}
	return nil
}

// restoreBacklog lets connections be accepted again, and closes the listener if that
// fails; the caller holds pr.mu.
func (pr *Proxy) restoreBacklog() {
	if err := pr.setBacklog(normalBacklog); err != nil {
		_ = pr.lis.Close()
	}
	for _, nc := range pr.backlog {
		_ = nc.Close()
	}
	pr.backlog = nil
}
