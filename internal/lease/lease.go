// Package lease decides which entry host of a data centre owns what: the
// shards of request ids, and the cell of workers.
//
// Every entry host has a row in the platform's table, renewed by
// compare-and-set, and one more row, the assignment, says who owns what. An
// owner acts only within its tenure. Taking over from a silent owner is one
// conditional write.
//
// The table may be away for long, and a data centre that is cut off whole has
// to go on. So a tenure has a second source. An owner that cannot renew asks
// every host of its known set, the members it recorded at its last renewal,
// for a promise not to help anyone take over from it for a while. If all of
// them promise, its tenure is extended by that while. For a takeover, one host
// of the known set has to deny: "my promise has run out and I give no more,
// until the row changes". All on one side and any one on the other exclude
// each other, so that nothing needs to be replicated or voted on.
//
// A process that starts is a new member and cannot speak for an earlier one.
// If no host of the known set is left to deny, an operator has to declare the
// owner dead ([Keeper.DeclareDead]).
//
// Time is monotonic and local: nothing compares two hosts' clocks, only their
// rates, for which [Timing.Margin] allows.
package lease

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/spread"
)

// Timing has the lengths of time; all hosts of a data centre use the same.
type Timing struct {
	// TTL is how long a renewal in the table lasts.
	TTL time.Duration
	// Promise is how long a promise lasts.
	Promise time.Duration
	// Margin allows for clocks that run at different rates.
	Margin time.Duration
	// Interval is the time between renewals, and between looks at the others.
	Interval time.Duration
}

// DefaultTiming is for few hosts; docs/CAPACITY.md has the writes it costs.
var DefaultTiming = Timing{
	TTL:      6 * time.Second,
	Promise:  6 * time.Second,
	Margin:   500 * time.Millisecond,
	Interval: 2 * time.Second,
}

// Member is the row of one entry host.
type Member struct {
	// ID names the process; another process has another id.
	ID string `json:"id"`
	// Addr is where its peers reach it.
	Addr string `json:"addr"`
	// Beat counts its renewals.
	Beat int64 `json:"beat"`
	// Known is its known set, itself left out.
	Known []string `json:"known,omitempty"`
}

// Assignment is the row that says who owns what in a data centre.
type Assignment struct {
	// Epoch counts changes of it.
	Epoch int64 `json:"epoch"`
	// Members are the entry hosts.
	Members []string `json:"members"`
	// Owners has the owner of each resource.
	Owners map[string]Ownership `json:"owners"`
}

// Ownership says who owns a resource, and from which epoch on.
type Ownership struct {
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
}

// WithMember returns the assignment with one more member, which is given
// what has no owner.
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

// WithoutMember returns the assignment without a member, whose resources go
// to the others, evenly.
func (as Assignment) WithoutMember(id string) Assignment {
	next := as.next()
	next.Members = slices.DeleteFunc(next.Members, func(me string) bool { return me == id })
	var orphans []string
	for re, ow := range next.Owners {
		if ow.Owner == id {
			orphans = append(orphans, re)
		}
	}
	slices.Sort(orphans)
	heirs := spread.Even(orphans, next.Members)
	for _, re := range orphans {
		next.Owners[re] = Ownership{Owner: heirs[re], Epoch: next.Epoch}
	}
	return next
}

// WithOwner returns the assignment with a resource given to a member.
func (as Assignment) WithOwner(resource, id string) Assignment {
	next := as.next()
	next.Owners[resource] = Ownership{Owner: id, Epoch: next.Epoch}
	return next
}

// next returns a copy of the following epoch.
func (as Assignment) next() Assignment {
	owners := make(map[string]Ownership, len(as.Owners))
	maps.Copy(owners, as.Owners)
	return Assignment{Epoch: as.Epoch + 1, Members: slices.Clone(as.Members), Owners: owners}
}

// OwnedBy returns a member's resources, in order.
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

// PromiseRequest asks for a promise not to help a takeover.
type PromiseRequest struct {
	// Holder asks.
	Holder string `json:"holder"`
	// Beat is the lowest beat that the holder's row can be at.
	Beat int64 `json:"beat"`
}

// DenialRequest asks for a denial, on behalf of a takeover.
type DenialRequest struct {
	// Holder is to be taken over from.
	Holder string `json:"holder"`
	// Beat is the beat of its row as the taker saw it.
	Beat int64 `json:"beat"`
}

// Answer is the reply to both.
type Answer struct {
	// OK is set if the promise, or the denial, was given.
	OK bool `json:"ok"`
}

// Peers carries the questions to other members.
type Peers struct {
	// PromiseFunc asks the member at addr for a promise.
	PromiseFunc func(ctx context.Context, id, addr string, req PromiseRequest) (Answer, error)
	// DenialFunc asks the member at addr for a denial.
	DenialFunc func(ctx context.Context, id, addr string, req DenialRequest) (Answer, error)
}

// ErrTakenOver is returned when the member's own row is gone: others own now
// what it owned, and the process has to begin anew as another member.
var ErrTakenOver = errors.New("lease taken over")

// errNotMember is returned for steps that only a member can take.
var errNotMember = errors.New("not a member yet")

// promises is what this process said to others. It answers for this process
// only, and is lost with it.
type promises struct {
	until  map[string]time.Time
	denied map[string]int64
}

// promise gives a promise, unless a denial stands that may concern the row as
// it is now.
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

// deny gives a denial once no promise runs. It stands until the holder shows
// that its row has moved on.
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
