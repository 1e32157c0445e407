package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
)

// BeatHeader is the header of an answer in which an entry host that sends beats says
// after how many milliseconds at the latest the next message follows.
const BeatHeader = "Pepperhatch-Beat-Ms"

// Bounds on the silence of an entry host.
const (
	// missedMost is how many beats in a row a watch may miss: a host that is short of
	// processor, or whose link is full, sends one late, and the way takes some 0.1 s.
	missedMost = 3
	// openWithin bounds opening a watch: every entry host answers at once that it is
	// being opened, also one that knows no beats.
	openWithin = 4 * time.Second
)

// errSilent is why a watch goes on at another entry host.
var errSilent = errors.New("entry host is silent")

// nowhere is the place of a watch that was not opened yet.
const nowhere = -1

// watch is one session being watched.
type watch struct {
	cl *Client
	// at is which entry host serves it, or did last.
	at    int
	token string
	seq   uint64
	moved bool
	fn    func(*pb.WatchResponse) error
}

// stopError carries the error by which fn ended the session.
type stopError struct{ err error }

func (err *stopError) Error() string { return "stopped: " + err.err.Error() }

// ErrMissingEvent is returned if an event is missing.
var ErrMissingEvent = errors.New("session left out an event")

// turn chooses the next entry host: another one than the last, if there is any.
func (wa *watch) turn() {
	all := len(wa.cl.hosts)
	next := int(wa.cl.next.Add(1)) % all
	if next == wa.at {
		next = (next + 1) % all
	}
	wa.at = next
}

// stream watches at one entry host until that ends, says that the session moves, or
// falls silent.
func (wa *watch) stream(ctx context.Context, req *pb.WatchRequest) error {
	wa.turn()
	wa.moved = false
	ctx, end := context.WithCancelCause(ctx)
	quiet := time.AfterFunc(openWithin, func() { end(errSilent) })
	defer quiet.Stop()
	st, err := wa.cl.hosts[wa.at].Watch(ctx, connect.NewRequest(&pb.WatchRequest{
		Service: req.GetService(), Topic: req.GetTopic(), ResumeToken: wa.token, Beats: true,
	}))
	if err != nil {
		end(nil)
		return fmt.Errorf("open: %w", err)
	}
	defer func() { _ = st.Close() }()
	// Before the stream is closed, which may wait for a host that stands still.
	defer end(nil)
	most := silenceMost(st.ResponseHeader())
	for receive(st, quiet, most) {
		if err := wa.take(st.Msg()); err != nil || wa.moved {
			return err
		}
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		return fmt.Errorf("stream: %w", errSilent)
	}
	if err := st.Err(); err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	return nil
}

// silenceMost returns how long the stream with the header may be silent; 0 is for ever,
// as of an entry host that sends no beats.
func silenceMost(header http.Header) time.Duration {
	ms, err := strconv.ParseUint(header.Get(BeatHeader), 10, 32)
	if err != nil {
		return 0
	}
	return missedMost * time.Duration(ms) * time.Millisecond
}

// receive waits for the next message. What is done with it does not count as silence.
func receive(st *connect.ServerStreamForClient[pb.WatchResponse], quiet *time.Timer, most time.Duration) bool {
	quiet.Stop()
	if most > 0 {
		quiet.Reset(most)
	}
	defer quiet.Stop()
	return st.Receive()
}

// take passes an event on. A beat is none, and carries no token.
func (wa *watch) take(ev *pb.WatchResponse) error {
	if ev.GetBeat() {
		return nil
	}
	wa.token = ev.GetResumeToken()
	if ev.GetMoved() {
		wa.moved = true
		return nil
	}
	if wa.seq != 0 && ev.GetSeq() != wa.seq+1 {
		return &stopError{err: fmt.Errorf("%w: %d after %d", ErrMissingEvent, ev.GetSeq(), wa.seq)}
	}
	wa.seq = ev.GetSeq()
	if err := wa.fn(ev); err != nil {
		return &stopError{err: err}
	}
	return nil
}
