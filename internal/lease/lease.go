// Package lease decides which entry host of a data centre owns each shard of request ids
// and the cell of workers.
//
// Every entry host has a row in the platform's table, renewed by compare-and-set. One more
// row, the assignment, maps resources to owners. An owner acts only within its tenure. A
// takeover from an unresponsive owner is one conditional write.
//
// The table may be unavailable for long, and a data centre that is partitioned from it as a
// whole must keep working. So a tenure can also be extended without the table. An owner
// that cannot renew asks every host of its known set, the members that it recorded at its
// last renewal, for a promise not to support a takeover from it for a certain time. If all
// of them promise, its tenure is extended by that time. A takeover needs a denial from one
// host of the known set: a statement that its promise has expired and that it gives no more
// until the row changes. Promises of all hosts and a denial of any host exclude each other,
// so nothing needs to be replicated or voted on.
//
// A restarted process is a new member and cannot answer for an earlier one. If no host of
// the known set is left to deny, an operator has to declare the owner dead
// ([Keeper.DeclareDead]).
//
// Time is monotonic and local: only the rates of clocks are compared between hosts, never
// their readings, and [Timing.Margin] allows for different rates.
package lease

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/spread"
)

// Timing has the durations of the protocol. All hosts of a data centre must use the same.
type Timing struct {
	// TTL is how long a renewal in the table is valid.
	TTL time.Duration
	// Promise is how long a promise is valid.
	Promise time.Duration
	// Margin allows for clocks that run at different rates.
	Margin time.Duration
	// Interval is the time between renewals, and between checks of the other members.
	Interval time.Duration
}

// DefaultTiming suits a data centre with few hosts; docs/CAPACITY.md lists the writes that
// it costs.
var DefaultTiming = Timing{
	TTL:      6 * time.Second,
	Promise:  6 * time.Second,
	Margin:   500 * time.Millisecond,
	Interval: 2 * time.Second,
}

// Member is the row of one entry host.
type Member struct {
	// ID identifies the process; a restarted process has another id.
	ID string `json:"id"`
	// Addr is the address for requests of other members.
	Addr string `json:"addr"`
	// Beat counts the renewals of the row.
	Beat int64 `json:"beat"`
	// Known is the known set, without the member itself.
	Known []string `json:"known,omitempty"`
}

// Assignment is the row that maps the resources of a data centre to owners.
type Assignment struct {
	// Epoch is incremented with each change.
	Epoch int64 `json:"epoch"`
	// Members are the ids of the entry hosts.
	Members []string `json:"members"`
	// Owners has the owner of each resource.
	Owners map[string]Ownership `json:"owners"`
}

// Ownership is the owner of a resource and the epoch since which it owns it.
type Ownership struct {
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
}

// WithMember returns the assignment with one more member, which gets the resources without
// an owner.
func (as Assignment) WithMember(id string, resources []string) Assignment {
	next := as.next()
	if !slices.Contains(next.Members, id) {
		next.Members = append(next.Members, id)
		slices.Sort(next.Members)
	}
	for _, re := range resources {
		if next.Owners[re].Owner == "" {
			next.Owners[re] = Ownership{Owner: id, Epoch: next.Epoch}
		}
	}
	return next
}

// WithoutMember returns the assignment without a member, whose resources are spread evenly
// over the others.
func (as Assignment) WithoutMember(id string) Assignment {
	next := as.next()
	next.Members = slices.DeleteFunc(next.Members, func(me string) bool { return me == id })
	var unowned []string
	for re, ow := range next.Owners {
		if ow.Owner == id {
			unowned = append(unowned, re)
		}
	}
	slices.Sort(unowned)
	owners := spread.AssignEvenly(unowned, next.Members)
	for _, re := range unowned {
		next.Owners[re] = Ownership{Owner: owners[re], Epoch: next.Epoch}
	}
	return next
}

// WithOwner returns the assignment with a resource transferred to a member.
func (as Assignment) WithOwner(resource, id string) Assignment {
	next := as.next()
	next.Owners[resource] = Ownership{Owner: id, Epoch: next.Epoch}
	return next
}

// next returns a copy with the next epoch.
func (as Assignment) next() Assignment {
	owners := make(map[string]Ownership, len(as.Owners))
	maps.Copy(owners, as.Owners)
	return Assignment{Epoch: as.Epoch + 1, Members: slices.Clone(as.Members), Owners: owners}
}

// OwnedBy returns a member's resources, sorted.
func (as Assignment) OwnedBy(id string) []string {
	var owned []string
	for re, ow := range as.Owners {
		if ow.Owner == id {
			owned = append(owned, re)
		}
	}
	slices.Sort(owned)
	return owned
}

// PromiseRequest asks for a promise not to support a takeover.
type PromiseRequest struct {
	// Holder is the member that asks.
	Holder string `json:"holder"`
	// Beat is the lowest beat that the holder's row can have.
	Beat int64 `json:"beat"`
}

// DenialRequest asks for a denial, as needed for a takeover.
type DenialRequest struct {
	// Holder is the member to take over from.
	Holder string `json:"holder"`
	// Beat is the beat of the holder's row as last read.
	Beat int64 `json:"beat"`
}

// Answer is the reply to a [PromiseRequest] or a [DenialRequest].
type Answer struct {
	// OK is set if the promise or the denial was given.
	OK bool `json:"ok"`
}

// Peers sends requests to other members.
type Peers struct {
	// PromiseFunc asks the member at addr for a promise.
	PromiseFunc func(ctx context.Context, id, addr string, req PromiseRequest) (Answer, error)
	// DenialFunc asks the member at addr for a denial.
	DenialFunc func(ctx context.Context, id, addr string, req DenialRequest) (Answer, error)
}

// ErrTakenOver is returned when the member's own row was removed. Other members own its
// resources, and the process has to join as a new member.
var ErrTakenOver = errors.New("lease taken over")

// errNotMember is returned for operations that only a member can perform.
var errNotMember = errors.New("not a member yet")

// promises has the promises and denials that this process gave. They do not outlive the
// process.
type promises struct {
	// until is when the last promise to a holder expires. denied is the highest beat of a
	// holder's row for which a denial was given.
	until  map[string]time.Time
	denied map[string]int64
}

// promise gives a promise, unless a denial was given that may concern the row as it is
// now.
func (pr *promises) promise(req PromiseRequest, now time.Time, length time.Duration) bool {
	if beat, ok := pr.denied[req.Holder]; ok && beat >= req.Beat {
		return false
	}
	delete(pr.denied, req.Holder)
	if pr.until == nil {
		pr.until = map[string]time.Time{}
	}
	pr.until[req.Holder] = now.Add(length)
	return true
}

// deny gives a denial if no promise is valid any more. It holds until the holder shows
// that its row has a higher beat.
func (pr *promises) deny(req DenialRequest, now time.Time) bool {
	if now.Before(pr.until[req.Holder]) {
		return false
	}
	if pr.denied == nil {
		pr.denied = map[string]int64{}
	}
	pr.denied[req.Holder] = max(pr.denied[req.Holder], req.Beat)
	return true
}
