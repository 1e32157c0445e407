package lease

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/store"
)

// Run performs the steps of the protocol until ctx ends or the lease is taken over, for
// which it returns [ErrTakenOver]. The host must have joined.
func (ke *Keeper) Run(ctx context.Context) error {
	ti := time.NewTicker(ke.Timing.Interval)
	defer ti.Stop()
	for {
		err := ke.step(ctx)
		if errors.Is(err, ErrTakenOver) {
			ke.emit("taken-over", "")
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ti.C:
		}
	}
}

// step renews the lease, or extends it if that fails, and checks the other members. The
// renewal gets half of the interval, so that promises are requested well before the tenure
// ends.
func (ke *Keeper) step(ctx context.Context) error {
	rctx, cancel := context.WithTimeout(ctx, ke.Timing.Interval/2)
	defer cancel()
	err := ke.Renew(rctx)
	if errors.Is(err, ErrTakenOver) {
		return err
	}
	if err != nil {
		pctx, pcancel := context.WithTimeout(ctx, ke.Timing.Interval/2)
		defer pcancel()
		ke.Extend(pctx)
		return fmt.Errorf("step: %w", err)
	}
	wctx, wcancel := context.WithTimeout(ctx, ke.Timing.Interval)
	defer wcancel()
	if _, err := ke.Watch(wctx); err != nil {
		return err
	}
	return ke.rebalance(wctx)
}

// rebalance transfers resources to the member with the fewest, while this host has at
// least two more.
func (ke *Keeper) rebalance(ctx context.Context) error {
	for {
		re, to := ke.nextTransfer()
		if re == "" {
			return nil
		}
		if err := ke.Transfer(ctx, re, to); err != nil {
			return err
		}
	}
}

// nextTransfer returns a resource to transfer and its new owner, or empty strings. A cell
// is never transferred: that costs a recovery and balances no load.
func (ke *Keeper) nextTransfer() (resource, to string) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	count := map[string]int{}
	for re, ow := range ke.assignment.Owners {
		if !IsCell(re) {
			count[ow.Owner]++
		}
	}
	for _, id := range ke.assignment.Members {
		if to == "" || count[id] < count[to] {
			to = id
		}
	}
	if ke.lost || to == ke.ID || count[ke.ID] < count[to]+2 {
		return "", ""
	}
	for _, re := range ke.assignment.OwnedBy(ke.ID) {
		if !IsCell(re) {
			return re, to
		}
	}
	return "", ""
}

// Transfer hands a resource to another member. The host stops owning it before it writes
// to the table. If the answer is lost, the next read shows the outcome.
func (ke *Keeper) Transfer(ctx context.Context, resource, to string) error {
	ke.mu.Lock()
	if ke.released == nil {
		ke.released = map[string]bool{}
	}
	tr := Transfer{Resource: resource, To: to, Addr: ke.addrs[to], Epoch: ke.assignment.Epoch, Since: ke.since[resource]}
	ke.released[resource] = true
	asg, asgVer := ke.assignment.WithOwner(resource, to), ke.assignmentVersion
	ke.mu.Unlock()
	if ke.BeforeTransfer != nil {
		ke.BeforeTransfer(ctx, tr)
	}
	txn, err := store.NewTxn().WithPut(ke.assignmentKey(), asgVer, asg)
	if err != nil {
		return err
	}
	version, err := ke.Table.Settle(ctx, txn)
	if errors.Is(err, store.ErrConflict) {
		return ke.read(ctx)
	}
	if err != nil {
		return fmt.Errorf("transfer %s to %s: %w", resource, to, err)
	}
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.adopt(asg, version)
	return nil
}

// Leave removes the host from the members and distributes its resources among the others.
// The host owns nothing from the moment that Leave is called.
func (ke *Keeper) Leave(ctx context.Context) error {
	ke.mu.Lock()
	ke.lost = true
	joined := ke.joined
	ke.mu.Unlock()
	if !joined {
		return nil
	}
	for {
		if err := ke.read(ctx); err != nil {
			return fmt.Errorf("leave: %w", err)
		}
		ke.mu.Lock()
		obs, found := ke.observed[ke.ID]
		asg, asgVer := ke.assignment.WithoutMember(ke.ID), ke.assignmentVersion
		planned := ke.transfers(asg)
		ke.mu.Unlock()
		if !found {
			return nil
		}
		for _, tr := range planned {
			ke.BeforeTransfer(ctx, tr)
		}
		_, err := ke.removeMember(ctx, ke.ID, obs.version, asg, asgVer)
		if err == nil {
			ke.emit("left", "")
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return fmt.Errorf("leave: %w", err)
		}
	}
}

// transfers returns the transfers from the current assignment to the next.
func (ke *Keeper) transfers(next Assignment) []Transfer {
	if ke.BeforeTransfer == nil {
		return nil
	}
	var planned []Transfer
	for _, re := range ke.assignment.OwnedBy(ke.ID) {
		to := next.Owners[re].Owner
		if to != "" && ke.since[re] != (OwnershipStart{}) {
			planned = append(planned, Transfer{Resource: re, To: to, Addr: ke.addrs[to], Epoch: ke.assignment.Epoch, Since: ke.since[re]})
		}
	}
	return planned
}

// Members returns the members of the data centre as read from the table now, sorted by id.
func (ke *Keeper) Members(ctx context.Context) ([]Member, error) {
	if err := ke.read(ctx); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	ke.mu.Lock()
	defer ke.mu.Unlock()
	var members []Member
	for _, obs := range ke.observed {
		members = append(members, obs.row)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members, nil
}

// ErrRenewed is returned by [Keeper.DeclareDead] for a member that has renewed its row
// since.
var ErrRenewed = errors.New("member has renewed since")

// DeclareDead removes a member without a denial, on an operator's statement that its
// process has ended, if its row still has the given beat. A wrong statement can lead to
// two owners. A member without a row is no error: it was removed already.
func (ke *Keeper) DeclareDead(ctx context.Context, id string, beat int64) error {
	if err := ke.read(ctx); err != nil {
		return fmt.Errorf("declare %s dead: %w", id, err)
	}
	ke.mu.Lock()
	obs, found := ke.observed[id]
	ke.mu.Unlock()
	switch {
	case !found:
		return nil
	case obs.row.Beat != beat || id == ke.ID:
		return fmt.Errorf("declare %s dead: %w", id, ErrRenewed)
	}
	if err := ke.takeOver(ctx, obs); err != nil {
		return err
	}
	// takeOver ignores a conflict, but here it must be reported.
	if err := ke.read(ctx); err != nil {
		return fmt.Errorf("declare %s dead: %w", id, err)
	}
	ke.mu.Lock()
	_, found = ke.observed[id]
	ke.mu.Unlock()
	if found {
		return fmt.Errorf("declare %s dead: %w", id, ErrRenewed)
	}
	return nil
}

// cellPrefix is the prefix of the resources that are cells.
const cellPrefix = "cell/"

// CellResource returns the resource for the cell of a data centre.
func CellResource(dc string) string { return cellPrefix + dc }

// IsCell reports whether a resource is a cell.
func IsCell(resource string) bool {
	return len(resource) > len(cellPrefix) && resource[:len(cellPrefix)] == cellPrefix
}
