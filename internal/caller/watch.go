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

// BeatHeader is the response header in which an entry host that sends heartbeats
// ("beats") states the longest time between two messages, in milliseconds.
const BeatHeader = "Pepperhatch-Beat-Ms"

// Bounds on the time without a message from an entry host.
const (
	// maxMissedBeats is how many consecutive beats may be missing: a host short of
	// processor time or with a full link sends late, and transfer takes some 0.1 s.
	maxMissedBeats = 3
	// openTimeout bounds opening a stream: every entry host sends the response header at
	// once, even one that sends no beats.
	openTimeout = 4 * time.Second
)

// errUnresponsive cancels a stream whose entry host has stopped sending.
var errUnresponsive = errors.New("entry host is unresponsive")

// noHost is the host index of a watch that has not been opened yet.
const noHost = -1

// watch is the state of a session across streams.
type watch struct {
	cl *Client
	// host is the index of the entry host of the current or last stream.
	host  int
	token string
	seq   uint64
	// moved is set when the entry host has asked to resume the session elsewhere.
	moved bool
	fn    func(*pb.WatchResponse) error
}

// stopError ends the session: it wraps an error of fn, or [ErrMissingEvent].
type stopError struct{ err error }

func (err *stopError) Error() string { return "session ended: " + err.err.Error() }

// ErrMissingEvent is returned if the sequence numbers of a session have a gap.
var ErrMissingEvent = errors.New("session skipped an event")

// selectHost chooses the next entry host, different from the last one if there are
// several.
func (wa *watch) selectHost() {
	hosts := len(wa.cl.hosts)
	next := int(wa.cl.next.Add(1)) % hosts
	if next == wa.host {
		next = (next + 1) % hosts
	}
	wa.host = next
}

// stream receives events from one entry host until the host ends the stream, moves the
// session, or stops sending.
func (wa *watch) stream(ctx context.Context, req *pb.WatchRequest) error {
	wa.selectHost()
	wa.moved = false
	ctx, end := context.WithCancelCause(ctx)
	silence := time.AfterFunc(openTimeout, func() { end(errUnresponsive) })
	defer silence.Stop()
	st, err := wa.cl.hosts[wa.host].Watch(ctx, connect.NewRequest(&pb.WatchRequest{
		Service: req.GetService(), Topic: req.GetTopic(), ResumeToken: wa.token, Beats: true,
	}))
	if err != nil {
		end(nil)
		return fmt.Errorf("open: %w", err)
	}
	defer func() { _ = st.Close() }()
	// Runs before st.Close, which may otherwise wait for a frozen host.
	defer end(nil)
	limit := maxSilence(st.ResponseHeader())
	for receive(st, silence, limit) {
		if err := wa.handleEvent(st.Msg()); err != nil || wa.moved {
			return err
		}
	}
	if errors.Is(context.Cause(ctx), errUnresponsive) {
		return fmt.Errorf("stream: %w", errUnresponsive)
	}
	if err := st.Err(); err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	return nil
}

// maxSilence returns how long a stream with the response header may go without a
// message. 0 means no limit, for entry hosts that send no beats.
func maxSilence(header http.Header) time.Duration {
	ms, err := strconv.ParseUint(header.Get(BeatHeader), 10, 32)
	if err != nil {
		return 0
	}
	return maxMissedBeats * time.Duration(ms) * time.Millisecond
}

// receive waits for the next message. The timer runs only here, so that the time taken
// to handle an event doesn't count.
func receive(st *connect.ServerStreamForClient[pb.WatchResponse], silence *time.Timer, limit time.Duration) bool {
	silence.Stop()
	if limit > 0 {
		silence.Reset(limit)
	}
	defer silence.Stop()
	return st.Receive()
}

// handleEvent passes an event to fn. Beats are skipped: they carry no resume token.
func (wa *watch) handleEvent(ev *pb.WatchResponse) error {
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
