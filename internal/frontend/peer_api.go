package frontend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Paths of the requests between entry hosts.
const (
	pathSubmit  = "/cell/submit"
	pathCancel  = "/cell/cancel"
	pathState   = "/cell/state"
	pathPending = "/cell/pending"
	pathList    = "/cell/list"
	pathProcess = "/cell/process"
	pathConfirm = "/cell/vouch"
)

// Error codes of the answers to other entry hosts.
const (
	// codeNotOwner: the host does not own the cell, and the request had no effect.
	codeNotOwner = "not-owner"
	// codeOutcomeUnknown: the owner can't tell whether the request took effect.
	codeOutcomeUnknown = "unsettled"
)

// Handler returns the handler of requests of other entry hosts.
func (fe *FrontEnd) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+pathSubmit, handle(fe, func(ctx context.Context, ow *sched.Owner, req submission) (sched.Verdict, error) {
		return ow.Submit(ctx, req.ID, req.Terms, req.Spec.Spec)
	}))
	mux.Handle("POST "+pathCancel, handle(fe, func(ctx context.Context, ow *sched.Owner, req reference) (sched.Verdict, error) {
		return ow.Cancel(ctx, req.ID)
	}))
	mux.Handle("POST "+pathState, handle(fe, func(ctx context.Context, ow *sched.Owner, req reference) (stateReply, error) {
		state, ok, err := ow.State(ctx, req.ID)
		return stateReply{State: state, Known: ok}, err
	}))
	mux.Handle("POST "+pathPending, handle(fe, func(ctx context.Context, ow *sched.Owner, req pendingRequest) (pendingReply, error) {
		n, err := ow.Pending(ctx, req.Queue)
		return pendingReply{Pending: n}, err
	}))
	mux.Handle("POST "+pathList, handle(fe, func(ctx context.Context, ow *sched.Owner, _ struct{}) (listReply, error) {
		jobs, err := ow.List(ctx)
		return listReply{Jobs: jobs}, err
	}))
	mux.Handle("POST "+pathProcess, wire.Handle(func(_ context.Context, req probeRequest) (probeReply, error) {
		fe.Keeper.NotifyReplaced(req.Epoch)
		hs := fe.Keeper.HostStatus()
		return probeReply{Host: hs.Host, Process: hs.Process, Refused: hs.Refused, SinceLeaseMS: hs.SinceLease.Milliseconds(), LeasesLeftMS: ceilMS(hs.LeasesLeft), SinceWitnessedMS: hs.SinceWitnessed.Milliseconds()}, nil
	}))
	mux.Handle("POST "+pathConfirm, wire.Handle(func(_ context.Context, req confirmRequest) (confirmReply, error) {
		return confirmReply{Confirmed: fe.Keeper.Confirm(req.Epoch, req.Process)}, nil
	}))
	return mux
}

// probeRequest notifies an entry host of the epoch of a new owner and asks for its status.
type probeRequest struct {
	Epoch int64 `json:"epoch"`
}

// confirmRequest asks a process whether it confirms the owner of an epoch.
type confirmRequest struct {
	Epoch   int64  `json:"epoch"`
	Process string `json:"process"`
}

type confirmReply struct {
	Confirmed bool `json:"confirmed"`
}

// probeReply is the status of an entry host; see [tenure.HostStatus].
type probeReply struct {
	Host    string `json:"host"`
	Process string `json:"process"`
	// Refused is set if the store refuses the heartbeats that the host writes as an owner.
	Refused bool `json:"refused,omitempty"`

	// SinceLeaseMS is the time since the host last sent a lease to a worker.
	SinceLeaseMS int64 `json:"since_lease_ms,omitempty"`
	// LeasesLeftMS is how long leases that the host sent may still be valid, or 0 if that
	// is not known.
	LeasesLeftMS int64 `json:"leases_left_ms,omitempty"`
	// SinceWitnessedMS is the time since the host last confirmed an owner as a witness, or 0 if
	// that is not known.
	SinceWitnessedMS int64 `json:"since_witnessed_ms,omitempty"`
}

// ceilMS returns a duration in milliseconds, rounded up.
func ceilMS(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// ProbeHost notifies the entry host at addr of the epoch of a new owner and returns the
// host's status.
func (fe *FrontEnd) ProbeHost(ctx context.Context, addr string, epoch int64) (tenure.HostStatus, error) {
	re, err := wire.Post[probeRequest, probeReply](ctx, fe.Peers, "http://"+addr+pathProcess, probeRequest{Epoch: epoch})
	since, left := time.Duration(max(re.SinceLeaseMS, 0))*time.Millisecond, time.Duration(max(re.LeasesLeftMS, 0))*time.Millisecond
	witnessed := time.Duration(max(re.SinceWitnessedMS, 0)) * time.Millisecond
	return tenure.HostStatus{Host: re.Host, Process: re.Process, Refused: re.Refused, SinceLease: since, LeasesLeft: left, SinceWitnessed: witnessed}, err
}

// ConfirmOwner asks a process on the entry host at addr whether it confirms the owner of an
// epoch. The result is false if another process answers.
func (fe *FrontEnd) ConfirmOwner(ctx context.Context, addr string, epoch int64, process string) (bool, error) {
	re, err := wire.Post[confirmRequest, confirmReply](ctx, fe.Peers, "http://"+addr+pathConfirm, confirmRequest{Epoch: epoch, Process: process})
	return re.Confirmed, err
}

// handle returns a handler that passes requests of one kind to the owner of the cell on
// this host. A host without the owner answers codeNotOwner.
func handle[Req, Resp any](fe *FrontEnd, fn func(context.Context, *sched.Owner, Req) (Resp, error)) http.Handler {
	return wire.Handle(func(ctx context.Context, req Req) (Resp, error) {
		var zero Resp
		ow := fe.Local()
		if ow == nil {
			return zero, &wire.Error{Status: http.StatusMisdirectedRequest, Code: codeNotOwner, Message: "this host does not own cell " + fe.Cell}
		}
		resp, err := fn(ctx, ow, req)
		switch {
		case errors.Is(err, sched.ErrTenureOver):
			err = &wire.Error{Status: http.StatusMisdirectedRequest, Code: codeNotOwner, Message: err.Error()}
		case errors.Is(err, sched.ErrOutcomeUnknown):
			err = &wire.Error{Status: http.StatusServiceUnavailable, Code: codeOutcomeUnknown, Message: err.Error()}
		}
		return resp, err
	})
}
