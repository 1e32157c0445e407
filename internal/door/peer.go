package door

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Paths between entry hosts.
const (
	pathSubmit  = "/cell/submit"
	pathCancel  = "/cell/cancel"
	pathState   = "/cell/state"
	pathPending = "/cell/pending"
	pathList    = "/cell/list"
	pathProcess = "/cell/process"
	pathVouch   = "/cell/vouch"
)

// Codes of refusals among entry hosts.
const (
	// codeNotOwner: the host does not own the cell, and did nothing.
	codeNotOwner = "not-owner"
	// codeUnsettled: its tenure ended with the request on its way.
	codeUnsettled = "unsettled"
)

// Handler serves other entry hosts.
func (do *FrontEnd) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+pathSubmit, handle(do, func(ctx context.Context, ow *sched.Owner, req submission) (sched.Verdict, error) {
		return ow.Submit(ctx, req.ID, req.Terms, req.Spec)
	}))
	mux.Handle("POST "+pathCancel, handle(do, func(ctx context.Context, ow *sched.Owner, req reference) (sched.Verdict, error) {
		return ow.Cancel(ctx, req.ID)
	}))
	mux.Handle("POST "+pathState, handle(do, func(ctx context.Context, ow *sched.Owner, req reference) (stateReply, error) {
		state, ok, err := ow.State(ctx, req.ID)
		return stateReply{State: state, Known: ok}, err
	}))
	mux.Handle("POST "+pathPending, handle(do, func(ctx context.Context, ow *sched.Owner, req pendingRequest) (pendingReply, error) {
		n, err := ow.Pending(ctx, req.Queue)
		return pendingReply{Pending: n}, err
	}))
	mux.Handle("POST "+pathList, handle(do, func(ctx context.Context, ow *sched.Owner, _ struct{}) (listReply, error) {
		jobs, err := ow.List(ctx)
		return listReply{Jobs: jobs}, err
	}))
	mux.Handle("POST "+pathProcess, wire.Handle(func(_ context.Context, req replacement) (processReply, error) {
		do.Keeper.NotifyReplaced(req.Epoch)
		li := do.Keeper.HostStatus()
		return processReply{Host: li.Host, Process: li.Process, Refused: li.Refused, SinceLeaseMS: li.SinceLease.Milliseconds(), LeasesLeftMS: ceilMS(li.LeasesLeft)}, nil
	}))
	mux.Handle("POST "+pathVouch, wire.Handle(func(_ context.Context, req confirmation) (confirmationReply, error) {
		return confirmationReply{Confirmed: do.Keeper.Confirm(req.Epoch, req.Process)}, nil
	}))
	return mux
}

// replacement tells of a new owner's epoch.
type replacement struct {
	Epoch int64 `json:"epoch"`
}

// confirmation asks a process whether it confirms the owner of an epoch.
type confirmation struct {
	Epoch   int64  `json:"epoch"`
	Process string `json:"process"`
}

type confirmationReply struct {
	Confirmed bool `json:"confirmed"`
}

// processReply names the host and its process, and says whether the store refuses its
// heartbeats as an owner, and how long ago it last told a worker a lease.
type processReply struct {
	Host    string `json:"host"`
	Process string `json:"process"`
	Refused bool   `json:"refused,omitempty"`

	SinceLeaseMS int64 `json:"since_lease_ms,omitempty"`
	// LeasesLeftMS is for how long leases may still run that it told, or 0 if it can't say.
	LeasesLeftMS int64 `json:"leases_left_ms,omitempty"`
}

// ceilMS returns a time in milliseconds, rounded up.
func ceilMS(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// ProbeHost tells the entry host at addr of a new owner and returns what it says of
// itself.
func (do *FrontEnd) ProbeHost(ctx context.Context, addr string, epoch int64) (tenure.HostStatus, error) {
	re, err := wire.Post[replacement, processReply](ctx, do.Peers, "http://"+addr+pathProcess, replacement{Epoch: epoch})
	since, left := time.Duration(max(re.SinceLeaseMS, 0))*time.Millisecond, time.Duration(max(re.LeasesLeftMS, 0))*time.Millisecond
	return tenure.HostStatus{Host: re.Host, Process: re.Process, Refused: re.Refused, SinceLease: since, LeasesLeft: left}, err
}

// ConfirmOwner asks a process on the entry host at addr whether it confirms the owner of an epoch.
func (do *FrontEnd) ConfirmOwner(ctx context.Context, addr string, epoch int64, process string) (bool, error) {
	re, err := wire.Post[confirmation, confirmationReply](ctx, do.Peers, "http://"+addr+pathVouch, confirmation{Epoch: epoch, Process: process})
	return re.Confirmed, err
}

// handle serves one kind of request on the cell's owner.
func handle[Req, Resp any](do *FrontEnd, fn func(context.Context, *sched.Owner, Req) (Resp, error)) http.Handler {
	return wire.Handle(func(ctx context.Context, req Req) (Resp, error) {
		var zero Resp
		ow := do.Local()
		if ow == nil {
			return zero, &wire.Error{Status: http.StatusMisdirectedRequest, Code: codeNotOwner, Message: "this host does not own cell " + do.Cell}
		}
		resp, err := fn(ctx, ow, req)
		switch {
		case errors.Is(err, sched.ErrTenureOver):
			err = &wire.Error{Status: http.StatusMisdirectedRequest, Code: codeNotOwner, Message: err.Error()}
		case errors.Is(err, sched.ErrOutcomeUnknown):
			err = &wire.Error{Status: http.StatusServiceUnavailable, Code: codeUnsettled, Message: err.Error()}
		}
		return resp, err
	})
}
