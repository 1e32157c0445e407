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

// Stall is the state of a connection in which a peer stands still, without a reset.
type Stall string

// The stalls.
const (
	// StallDial: opening a connection hangs.
	StallDial Stall = "dialling hangs"
	// StallAccept: the kernel accepts and takes bytes, and nobody reads them.
	StallAccept Stall = "accepted and not read"
	// StallAnswer: the request is taken, and may be carried out.
	StallAnswer Stall = "no answer"
	// StallHeader and StallBody: the answer has begun.
	StallHeader Stall = "half a header"
	StallBody   Stall = "half a body"
	// DropRequests and DropAnswers: one way only is silent, as after a cut of the
	// network in one direction.
	DropRequests Stall = "requests lost"
	DropAnswers  Stall = "answers lost"
)

// Stalls are all stalls, for tests to range over.
var Stalls = []Stall{StallDial, StallAccept, StallAnswer, StallHeader, StallBody, DropRequests, DropAnswers}

// headerPart is how many bytes [StallHeader] lets through: a status line is longer.
const headerPart = 12

// lets returns how many bytes of data pass, or -1 if the stall is none of its
// direction's.
func (st Stall) lets(data []byte, answers bool) int {
	switch st {
	case StallDial, StallAccept:
		return 0
	case StallAnswer, DropAnswers:
		if answers {
			return 0
		}
	case DropRequests:
		if !answers {
			return 0
		}
	case StallHeader:
		if answers {
			return min(headerPart, len(data))
		}
	case StallBody:
		if answers {
			return halfBody(data)
		}
	}
	return -1
}

// loses reports whether what does not pass is lost, rather than late.
func (st Stall) loses() bool { return st == DropRequests || st == DropAnswers }

// halfBody returns the length of the header in data and half of what follows.
func halfBody(data []byte) int {
	_, body, found := bytes.Cut(data, []byte("\r\n\r\n"))
	if !found {
		body = data
	}
	return len(data) - (len(body)+1)/2
}

// Stall has the peer stand still in one state of a connection until [Proxy.Resume].
// Connections that are open already stall too.
func (ln *Proxy) Stall(st Stall) error {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.stop(st)
	if st != StallDial {
		return nil
	}
	return ln.fill()
}

// Numbers of a queue of connections that is full.
const (
	// queueLeast and queueUsual are lengths of the kernel's queue.
	queueLeast = 0
	queueUsual = 128
	// queuedMost is how many connections are tried to fill the least one.
	queuedMost = 16
	// hangsAfter is how long opening a connection takes on loopback at the most.
	hangsAfter = 150 * time.Millisecond
	// takesMost is how long the line takes to take a connection, if it takes any.
	takesMost = 2 * time.Second
)

// errNotFilled: the kernel's queue took more connections than it should.
var errNotFilled = errors.New("queue of connections does not fill up")

// fill fills the kernel's queue of connections that wait to be accepted; ln.mu is
// held, so that the line takes one more at the most.
func (ln *Proxy) fill() error {
	if err := ln.queue(queueLeast); err != nil {
		return err
	}
	before := ln.accepted.Load()
	for range queuedMost {
		full, err := ln.fillOne()
		if full || err != nil {
			return err
		}
		// A queue that is full before the line has taken its one more has room later.
		for end := time.Now().Add(takesMost); ln.accepted.Load() == before && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	return errNotFilled
}

// fillOne puts one connection into the queue, and reports whether that is full.
func (ln *Proxy) fillOne() (full bool, err error) {
	di := net.Dialer{Timeout: hangsAfter}
	nc, err := di.DialContext(context.Background(), "tcp", ln.Addr())
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("fill queue of connections: %w", err)
	}
	ln.queued = append(ln.queued, nc)
	return false, nil
}

// queue sets the length of the kernel's queue of connections.
func (ln *Proxy) queue(n int) error {
	li, ok := ln.li.(syscall.Conn)
	if !ok {
		return fmt.Errorf("listener of type %T has no queue", ln.li)
	}
	rc, err := li.SyscallConn()
	if err != nil {
		return fmt.Errorf("queue of connections: %w", err)
	}
	var lerr error
	err = rc.Control(func(fd uintptr) { lerr = syscall.Listen(int(fd), n) })
	if err := errors.Join(err, lerr); err != nil {
		return fmt.Errorf("queue of connections: %w", err)
	}
	return nil
}

// reopen has connections be accepted again; ln.mu is held.
func (ln *Proxy) reopen() {
	if err := ln.queue(queueUsual); err != nil {
		_ = ln.li.Close()
	}
	for _, nc := range ln.queued {
		_ = nc.Close()
	}
	ln.queued = nil
}
