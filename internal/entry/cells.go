package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/pepperhatch/pepperhatch/internal/cell"
	"github.com/pepperhatch/pepperhatch/internal/lease"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// cellMessage is a message to the owner of a cell. Forwarded is set once a host
// of the cell's data centre has forwarded it: it is forwarded once only, so that
// hosts that disagree on the owner do not pass it back and forth.
type cellMessage[T any] struct {
	Cell      string `json:"cell"`
	Forwarded bool   `json:"passed,omitempty"`
	Message   T      `json:"message"`
}

// cellCall is a method of a cell's owner that other hosts can call.
type cellCall[Req, Resp any] struct {
	// name is the last element of the call's path on the peer port.
	name string
	// serve runs the call at the owner.
	serve func(*cell.Owner, context.Context, Req) (Resp, error)
}

// The calls on the owner of a cell.
var (
	callPlan = cellCall[cell.Command, []cell.Step]{"plan", func(ow *cell.Owner, _ context.Context, cmd cell.Command) ([]cell.Step, error) {
		return ow.Plan(cmd)
	}}
	callConfirm = cellCall[cell.Confirmation, cell.ConfirmResult]{"confirm", (*cell.Owner).Confirm}
	callSummary = cellCall[empty, cell.Summary]{"summary", func(ow *cell.Owner, _ context.Context, _ empty) (cell.Summary, error) {
		return ow.Summary()
	}}
	callTasks = cellCall[string, []cell.NamedTask]{"tasks", func(ow *cell.Owner, _ context.Context, job string) ([]cell.NamedTask, error) {
		return ow.Tasks(job)
	}}
)

// cellErrors pairs errors with the codes that stand for them between hosts.
var cellErrors = []struct {
	err  error
	code string
}{
	{cell.ErrNotOwner, "not-owner"},
	{cell.ErrImpossible, "impossible"},
	{cell.ErrJournalUnavailable, "journal-away"},
	{cell.ErrOutcomeUnknown, "unsettled"},
}

func (ho *Host) handleCell(mux *http.ServeMux) {
	handleCall(ho, mux, callPlan)
	handleCall(ho, mux, callConfirm)
	handleCall(ho, mux, callSummary)
	handleCall(ho, mux, callTasks)
}

func handleCall[Req, Resp any](ho *Host, mux *http.ServeMux, ca cellCall[Req, Resp]) {
	mux.Handle("POST "+pathCell+ca.name, wire.Handle(func(ctx context.Context, msg cellMessage[Req]) (Resp, error) {
		resp, err := serveCall(ctx, ho, ca, msg)
		return resp, encodeCellError(err)
	}))
}

// callCell calls the owner of a cell in any data centre.
func callCell[Req, Resp any](ctx context.Context, ho *Host, ca cellCall[Req, Resp], name string, req Req) (Resp, error) {
	msg := cellMessage[Req]{Cell: name, Message: req}
	if name == ho.set.DC {
		return serveCall(ctx, ho, ca, msg)
	}
	addr, err := ho.anyHostIn(name)
	if err != nil {
		var zero Resp
		return zero, fmt.Errorf("cell %s: %w: %w", name, cell.ErrNotOwner, err)
	}
	return postCall(ctx, ho, ca, addr, msg)
}

func postCall[Req, Resp any](ctx context.Context, ho *Host, ca cellCall[Req, Resp], addr string, msg cellMessage[Req]) (Resp, error) {
	resp, err := wire.Post[cellMessage[Req], Resp](ctx, ho.httpClient, "http://"+addr+pathCell+ca.name, msg)
	return resp, decodeCellError(err)
}

// serveCall runs a call if this host owns the cell. Otherwise it forwards the
// message to the owner, unless the message was forwarded before.
func serveCall[Req, Resp any](ctx context.Context, ho *Host, ca cellCall[Req, Resp], msg cellMessage[Req]) (Resp, error) {
	var zero Resp
	addr, own, err := ho.ownerOf(lease.CellResource(ho.set.DC))
	if own {
		ow := ho.owner.Load()
		if ow == nil {
			return zero, cell.ErrNotOwner
		}
		return ca.serve(ow, ctx, msg.Message)
	}
	if err != nil || msg.Forwarded {
		return zero, errors.Join(cell.ErrNotOwner, err)
	}
	msg.Forwarded = true
	return postCall(ctx, ho, ca, addr, msg)
}

// encodeCellError returns err as an error of the wire protocol if it has a code.
func encodeCellError(err error) error {
	for _, ce := range cellErrors {
		if errors.Is(err, ce.err) {
			return &wire.Error{Status: http.StatusConflict, Code: ce.code, Message: err.Error()}
		}
	}
	return err
}

// decodeCellError wraps a received error in the error that its code stands for.
func decodeCellError(err error) error {
	code := wire.Code(err)
	for _, ce := range cellErrors {
		if ce.code == code {
			return fmt.Errorf("%w: %w", ce.err, err)
		}
	}
	return err
}

func (ho *Host) planCell(ctx context.Context, name string, cmd cell.Command) ([]cell.Step, error) {
	return callCell(ctx, ho, callPlan, name, cmd)
}

func (ho *Host) confirmCell(ctx context.Context, name string, con cell.Confirmation) (cell.ConfirmResult, error) {
	return callCell(ctx, ho, callConfirm, name, con)
}

// chooseCell returns the name of the cell with the most free processor time.
// Cells that cannot be reached are left out.
func (ho *Host) chooseCell(ctx context.Context) (string, error) {
	best, most := "", int64(-1)
	for _, name := range ho.set.DCs {
		su, err := callCell(ctx, ho, callSummary, name, empty{})
		if err != nil {
			continue
		}
		if free := su.Capacity.MilliCores - su.Reserved.MilliCores; free > most {
			best, most = name, free
		}
	}
	if best == "" {
		return "", fmt.Errorf("no cell of %v answers: %w", ho.set.DCs, cell.ErrNotOwner)
	}
	return best, nil
}
