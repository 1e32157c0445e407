package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/store"
)

// Keeper maintains one entry host's membership and tenure. Its methods are the steps of
// the protocol; [Keeper.Run] performs them in turn.
type Keeper struct {
	// ID and Addr are those of this host's row, see [Member].
	ID   string
	Addr string
	// DC is the data centre.
	DC string
	// Resources are all resources of the data centre.
	Resources []string
	// Table is the platform's table.
	Table store.Table
	// Peers sends requests to other members.
	Peers Peers
	// Timing has the durations of the protocol.
	Timing Timing
	// Now returns the time; nil means time.Now. Tests use clocks that run at different
	// rates.
	Now func() time.Time
	// OnEvent is called for joins, takeovers, extensions and departures, unless it is nil.
	OnEvent func(Event)
	// BeforeTransfer is called for a resource that the host owned and no longer acts on,
	// before the table says that another member owns it. The epoch of the transfer is that
	// of the current assignment; the next one is the first in which the other member may
	// own the resource.
	BeforeTransfer func(ctx context.Context, tr Transfer)

	mu sync.Mutex
	// joined is set once the host is a member, lost once another member has taken over from
	// it or it leaves.
	joined bool
	lost   bool
	// row is the host's row as last written, end is when its tenure ends. pending is a
	// renewal whose outcome is not known, or nil.
	row        Member
	rowVersion int64
	end        time.Time
	pending    *renewal
	// assignment is as last read or written. released has the resources that the host no
	// longer acts on although it still owns them by that assignment, since has when it
	// began to own a resource.
	assignment        Assignment
	assignmentVersion int64
	released          map[string]bool
	since             map[string]OwnershipStart
	// addrs and observed have the members as last read, by id. given has the answers that
	// this process gave to them.
	addrs    map[string]string
	observed map[string]observation
	given    promises
}

// OwnershipStart is when a host began to own a resource.
type OwnershipStart struct {
	// At is the wall clock time of the host.
	At time.Time
	// Epoch is that of the first assignment that named the host as the owner.
	Epoch int64
}

// Transfer is a planned change of a resource's owner.
type Transfer struct {
	// Resource is the resource that is transferred.
	Resource string
	// To and Addr are the id and the address of the next owner.
	To   string
	Addr string
	// Epoch is that of the assignment before the transfer.
	Epoch int64
	// Since is when the host began to own the resource.
	Since OwnershipStart
}

// Event is something that the keeper did.
type Event struct {
	// Kind is joined, extended, taken-over, took-over or left.
	Kind string
	// Peer is the other member, if there is one.
	Peer string
}

// renewal is a renewal whose outcome is not known.
type renewal struct {
	txn    store.Txn
	row    Member
	sentAt time.Time
}

// observation is a member's row as last read, and since when it has been unchanged.
type observation struct {
	row     Member
	version int64
	at      time.Time
}

func (ke *Keeper) now() time.Time {
	if ke.Now != nil {
		return ke.Now()
	}
	return time.Now()
}

func (ke *Keeper) emit(kind, peer string) {
	if ke.OnEvent != nil {
		ke.OnEvent(Event{Kind: kind, Peer: peer})
	}
}

func (ke *Keeper) prefix() string             { return "lease/" + ke.DC + "/" }
func (ke *Keeper) assignmentKey() string      { return ke.prefix() + "assignment" }
func (ke *Keeper) memberKey(id string) string { return ke.prefix() + "member/" + id }

// Owns reports whether the host owns the resource at this moment. Callers must check it
// before each effect, not once for several.
func (ke *Keeper) Owns(resource string) bool {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.validLocked() && ke.assignment.Owners[resource].Owner == ke.ID && !ke.released[resource]
}

// Valid reports whether the host's tenure is valid.
func (ke *Keeper) Valid() bool {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.validLocked()
}

func (ke *Keeper) validLocked() bool {
	return ke.joined && !ke.lost && ke.now().Before(ke.end)
}

// Since returns when the host began to own the resource.
func (ke *Keeper) Since(resource string) OwnershipStart {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.since[resource]
}

// Owner returns the id and the address of the resource's owner as last read.
func (ke *Keeper) Owner(resource string) (id, addr string) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	id = ke.assignment.Owners[resource].Owner
	return id, ke.addrs[id]
}

// Assignment returns the assignment as last read.
func (ke *Keeper) Assignment() Assignment {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.assignment
}

// Join adds the host to the members. It retries after a conflict, and may take as long as
// the table is unavailable.
func (ke *Keeper) Join(ctx context.Context) error {
	for {
		if err := ke.read(ctx); err != nil {
			return fmt.Errorf("join: %w", err)
		}
		ke.mu.Lock()
		if obs, found := ke.observed[ke.ID]; found {
			// An earlier attempt wrote the row, but its answer was lost and its time is not
			// known. The next renewal begins the tenure.
			ke.joined, ke.row, ke.rowVersion = true, obs.row, obs.version
			ke.mu.Unlock()
			return nil
		}
		sentAt := ke.now()
		row := Member{ID: ke.ID, Addr: ke.Addr, Beat: 1, Known: without(ke.assignment.Members, ke.ID)}
		asg, asgVer := ke.assignment.WithMember(ke.ID, ke.Resources), ke.assignmentVersion
		ke.mu.Unlock()
		txn, err := putTwoRows(ke.assignmentKey(), asgVer, asg, ke.memberKey(ke.ID), 0, row)
		if err != nil {
			return fmt.Errorf("join: %w", err)
		}
		version, err := ke.Table.Settle(ctx, txn)
		if errors.Is(err, store.ErrConflict) {
			continue
		}
		if err != nil {
			return fmt.Errorf("join: %w", err)
		}
		ke.mu.Lock()
		ke.joined = true
		ke.row, ke.rowVersion, ke.end = row, version, sentAt.Add(ke.Timing.TTL)
		ke.adopt(asg, version)
		ke.mu.Unlock()
		ke.emit("joined", "")
		return nil
	}
}

func putTwoRows(keyA string, verA int64, a any, keyB string, verB int64, b any) (store.Txn, error) {
	txn, err := store.NewTxn().WithPut(keyA, verA, a)
	if err != nil {
		return txn, err
	}
	return txn.WithPut(keyB, verB, b)
}

func without(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
}

// read reads all rows of the data centre with one request.
func (ke *Keeper) read(ctx context.Context) error {
	rows, err := ke.Table.List(ctx, ke.prefix())
	if err != nil {
		return err
	}
	// The time is read after the reply, as each row in it was written before that.
	at := ke.now()
	ke.mu.Lock()
	defer ke.mu.Unlock()
	seen := map[string]observation{}
	addrs := map[string]string{}
	for _, row := range rows {
		if row.Key == ke.assignmentKey() {
			var asg Assignment
			if err := json.Unmarshal(row.Value, &asg); err != nil {
				return fmt.Errorf("decode row %s: %w", row.Key, err)
			}
			ke.adopt(asg, row.Version)
			continue
		}
		var me Member
		if err := json.Unmarshal(row.Value, &me); err != nil {
			return fmt.Errorf("decode row %s: %w", row.Key, err)
		}
		addrs[me.ID] = me.Addr
		seen[me.ID] = observation{row: me, version: row.Version, at: at}
		if old, ok := ke.observed[me.ID]; ok && old.version == row.Version {
			seen[me.ID] = old
		}
	}
	ke.observed, ke.addrs = seen, addrs
	return nil
}

// adopt applies an assignment, unless a later one is known: replies to reads may arrive
// out of order.
func (ke *Keeper) adopt(asg Assignment, version int64) {
	if version < ke.assignmentVersion {
		return
	}
	since := map[string]OwnershipStart{}
	for _, re := range asg.OwnedBy(ke.ID) {
		since[re] = OwnershipStart{At: time.Now(), Epoch: asg.Owners[re].Epoch}
		if old, ok := ke.since[re]; ok && old.Epoch == asg.Owners[re].Epoch {
			since[re] = old
		}
	}
	if version > ke.assignmentVersion {
		ke.released = nil
	}
	ke.assignment, ke.assignmentVersion, ke.since = asg, version, since
}

// Renew renews the host's row with one write to the table. After a lost answer, the next
// call sends the same renewal again. Until its outcome is known, the known set is the
// union of those of both rows.
func (ke *Keeper) Renew(ctx context.Context) error {
	re, err := ke.nextRenewal()
	if err != nil {
		return err
	}
	version, err := ke.Table.Commit(ctx, re.txn)
	if errors.Is(err, store.ErrConflict) {
		version, err = ke.confirmOwnWrite(ctx, re)
	}
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if errors.Is(err, ErrTakenOver) {
		ke.lost = true
		return err
	}
	if err != nil {
		return fmt.Errorf("renew: %w", err)
	}
	ke.pending = nil
	ke.row, ke.rowVersion = re.row, version
	// The tenure counts from the first attempt, which may already have changed the row.
	ke.extendUntil(re.sentAt.Add(ke.Timing.TTL))
	return nil
}

func (ke *Keeper) nextRenewal() (*renewal, error) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if ke.lost {
		return nil, ErrTakenOver
	}
	if !ke.joined {
		return nil, errNotMember
	}
	if ke.pending != nil {
		return ke.pending, nil
	}
	row := ke.row
	row.Beat++
	row.Known = without(ke.assignment.Members, ke.ID)
	txn, err := store.NewTxn().WithPut(ke.memberKey(ke.ID), ke.rowVersion, row)
	if err != nil {
		return nil, err
	}
	ke.pending = &renewal{txn: txn, row: row, sentAt: ke.now()}
	return ke.pending, nil
}

// confirmOwnWrite distinguishes a conflict with an earlier attempt of the same renewal
// from a takeover.
func (ke *Keeper) confirmOwnWrite(ctx context.Context, re *renewal) (int64, error) {
	reply, err := ke.Table.ReadFunc(ctx, store.ReadRequest{Keys: []string{ke.memberKey(ke.ID)}})
	if err != nil {
		return 0, fmt.Errorf("read back: %w", err)
	}
	if len(reply.Rows) == 1 && reply.Rows[0].WriteID == re.txn.ID {
		return reply.Rows[0].Version, nil
	}
	return 0, ErrTakenOver
}

func (ke *Keeper) extendUntil(end time.Time) {
	if end.After(ke.end) {
		ke.end = end
	}
}

// Extend asks every host of the known set for a promise, and extends the tenure if the set
// is not empty and all of them promise. It reports whether they did.
func (ke *Keeper) Extend(ctx context.Context) bool {
	ke.mu.Lock()
	asked := ke.now()
	known := slices.Clone(ke.row.Known)
	// A takeover must need a denial, whichever of the two rows the table has.
	guarded := len(known) > 0
	if ke.pending != nil {
		known = union(known, ke.pending.row.Known)
		guarded = guarded && len(ke.pending.row.Known) > 0
	}
	req := PromiseRequest{Holder: ke.ID, Beat: ke.row.Beat}
	addrs := ke.addrs
	usable := ke.joined && !ke.lost && guarded
	ke.mu.Unlock()
	if !usable || !ke.allPromise(ctx, known, addrs, req) {
		return false
	}
	ke.mu.Lock()
	ke.extendUntil(asked.Add(ke.Timing.Promise - ke.Timing.Margin))
	ke.mu.Unlock()
	ke.emit("extended", "")
	return true
}

func (ke *Keeper) allPromise(ctx context.Context, known []string, addrs map[string]string, req PromiseRequest) bool {
	answers := make(chan bool, len(known))
	for _, id := range known {
		go func() {
			ans, err := ke.Peers.PromiseFunc(ctx, id, addrs[id], req)
			answers <- err == nil && ans.OK
		}()
	}
	all := true
	for range known {
		all = <-answers && all
	}
	return all
}

func union(a, b []string) []string {
	both := slices.Concat(a, b)
	slices.Sort(both)
	return slices.Compact(both)
}

// AnswerPromise answers another member's [PromiseRequest].
func (ke *Keeper) AnswerPromise(req PromiseRequest) Answer {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return Answer{OK: ke.given.promise(req, ke.now(), ke.Timing.Promise)}
}

// AnswerDenial answers another member's [DenialRequest].
func (ke *Keeper) AnswerDenial(req DenialRequest) Answer {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return Answer{OK: ke.given.deny(req, ke.now())}
}

// Watch reads the rows of the data centre and takes over from members that have been
// unresponsive for too long. It returns the ids of these members.
func (ke *Keeper) Watch(ctx context.Context) ([]string, error) {
	if err := ke.read(ctx); err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	var takenOver []string
	for _, obs := range ke.unresponsive() {
		if !ke.obtainDenial(ctx, obs) {
			continue
		}
		if err := ke.takeOver(ctx, obs); err != nil {
			return takenOver, err
		}
		takenOver = append(takenOver, obs.row.ID)
	}
	return takenOver, nil
}

// unresponsive returns the members whose rows have been unchanged for so long that a
// tenure from the table has ended.
func (ke *Keeper) unresponsive() []observation {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	var stale []observation
	if !ke.joined || ke.lost {
		return nil
	}
	for id, obs := range ke.observed {
		if id != ke.ID && ke.now().Sub(obs.at) > ke.Timing.TTL+ke.Timing.Margin {
			stale = append(stale, obs)
		}
	}
	slices.SortFunc(stale, func(a, b observation) int { return strings.Compare(a.row.ID, b.row.ID) })
	return stale
}

// obtainDenial obtains one denial from the known set of an unresponsive member. An empty
// known set needs none, since such a member cannot extend its tenure.
func (ke *Keeper) obtainDenial(ctx context.Context, obs observation) bool {
	req := DenialRequest{Holder: obs.row.ID, Beat: obs.row.Beat}
	if len(obs.row.Known) == 0 {
		return true
	}
	if slices.Contains(obs.row.Known, ke.ID) {
		return ke.AnswerDenial(req).OK
	}
	ke.mu.Lock()
	addrs := ke.addrs
	ke.mu.Unlock()
	for _, id := range obs.row.Known {
		ans, err := ke.Peers.DenialFunc(ctx, id, addrs[id], req)
		if err == nil && ans.OK {
			return true
		}
	}
	return false
}

// takeOver removes a member, on condition that its row and the assignment are unchanged
// since they were read. A conflict is not an error.
func (ke *Keeper) takeOver(ctx context.Context, obs observation) error {
	ke.mu.Lock()
	asg, asgVer := ke.assignment.WithoutMember(obs.row.ID), ke.assignmentVersion
	ke.mu.Unlock()
	version, err := ke.removeMember(ctx, obs.row.ID, obs.version, asg, asgVer)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("take over from %s: %w", obs.row.ID, err)
	}
	ke.mu.Lock()
	ke.adopt(asg, version)
	delete(ke.observed, obs.row.ID)
	ke.mu.Unlock()
	ke.emit("took-over", obs.row.ID)
	return nil
}

func (ke *Keeper) removeMember(ctx context.Context, id string, rowVer int64, asg Assignment, asgVer int64) (int64, error) {
	txn, err := store.NewTxn().WithPut(ke.assignmentKey(), asgVer, asg)
	if err != nil {
		return 0, err
	}
	return ke.Table.Settle(ctx, txn.WithDelete(ke.memberKey(id), rowVer))
}
