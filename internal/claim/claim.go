// Package claim keeps requests marked run-once from running twice, whichever
// entry hosts they are sent through and however often.
//
// Ids fall into shards. The entry host that owns a shard remembers the ids it
// has let through, and lets none through twice. Nothing is written to the
// table for a request. What is remembered is lost with the owner, and a new
// owner cannot vouch for ids made before its tenure, so those are answered
// "unknown" and not run; an id tells when it was made. Ids made after the
// tenure began were never let through by a former owner, whose tenure had
// ended, provided that clocks differ by less than [Rules.Skew].
//
// An owner that gives a shard away by agreement hands its memory over first.
package claim

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/pepperhatch/pepperhatch/internal/lease"
	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/spread"
)

// Shards is the number of id shards of a data centre.
const Shards = 24

// Rules has the lengths of time and the bounds; all entry hosts use the same.
type Rules struct {
	// Window is how long after an id was made it may be let through.
	Window time.Duration
	// Skew is the most by which wall clocks of callers and entry hosts
	// differ.
	Skew time.Duration
	// Most bounds the ids that one owner remembers.
	MaxIDs int
}

// DefaultRules let a caller repeat an id for ten minutes. An entry takes
// about 200 bytes, so that memory stays under 20 MB.
var DefaultRules = Rules{Window: 10 * time.Minute, Skew: 2 * time.Second, MaxIDs: 100_000}

// ID is the id of a request marked run-once: a UUIDv7, and after an @ the
// data centre that is to vouch for it, if the caller chose one.
type ID struct {
	// Text is the whole id; ids differ if their texts do.
	Text string
	// Made is when it was made, by the caller's clock.
	CreatedAt time.Time
	// Home is the data centre chosen; empty leaves it to [ID.HomeIn].
	Home string
}

// ErrMalformed is returned for an id that is not of the form.
var ErrMalformed = errors.New("not a UUIDv7 with an optional @data-centre")

// errNotOwner is the error of asking a host that does not own the shard.
var errNotOwner = errors.New("not the shard's owner")

// Parse reads an id.
func Parse(text string) (ID, error) {
	head, home, _ := strings.Cut(text, "@")
	uid, err := uuid.Parse(head)
	if err != nil {
		return ID{}, fmt.Errorf("id %q: %w: %w", text, ErrMalformed, err)
	}
	if uid.Version() != 7 || uid.String() != head {
		return ID{}, fmt.Errorf("id %q: %w", text, ErrMalformed)
	}
	sec, nsec := uid.Time().UnixTime()
	return ID{Text: text, CreatedAt: time.Unix(sec, nsec), Home: home}, nil
}

// NewID returns a new id that the data centre is to vouch for.
func NewID(home string) string {
	uid := uuid.Must(uuid.NewV7()).String()
	if home == "" {
		return uid
	}
	return uid + "@" + home
}

// HomeIn returns the data centre that vouches for the id.
func (id ID) HomeIn(dcs []string) string {
	if id.Home != "" || len(dcs) == 0 {
		return id.Home
	}
	return spread.First(id.Text, dcs, 1)[0]
}

// Shard returns the resource that the id falls into.
func (id ID) Shard() string {
	return shardName(int(xxhash.Sum64String(id.Text) % Shards))
}

func shardName(n int) string { return "ids/" + strconv.Itoa(n) }

// Resources returns all id shards of a data centre.
func Resources() []string {
	res := make([]string, Shards)
	for n := range res {
		res[n] = shardName(n)
	}
	return res
}

// TakeRequest asks an owner to let an id through.
type TakeRequest struct {
	// ID is the id's text.
	ID string `json:"id"`
	// Sending names this sending of the request. The same sending may ask
	// again, after an answer lost, and gets the same verdict.
	Submission string `json:"sending"`
}

// Verdict is an owner's word on an id.
type Decision struct {
	// Granted lets the sending through.
	Granted bool `json:"granted"`
	// Reason says why not.
	Reason reason.Reason `json:"reason,omitempty"`
}

// ReleaseRequest tells the owner that a sending certainly did not run.
type ReleaseRequest struct {
	// ID and Sending name it.
	ID         string `json:"id"`
	Submission string `json:"sending"`
}

// Handover carries an owner's memory of a shard to the next owner.
type Handover struct {
	// Resource is the shard.
	Resource string `json:"resource"`
	// Epoch is that of the last assignment in which the giver owned it.
	Epoch int64 `json:"epoch"`
	// VouchesFrom is the time from which the giver could vouch, in Unix
	// milliseconds.
	CompleteFrom int64 `json:"vouches_from"`
	// Taken maps ids to the sendings let through.
	Taken map[string]string `json:"taken"`
}

// Ledger is an owner's memory. Set the fields before use.
type Ledger struct {
	// Owns reports whether this host owns a shard at this moment.
	Owns func(resource string) bool
	// Since says when it began to.
	Since func(resource string) lease.OwnershipStart
	// Rules has the bounds.
	Rules Rules

	mu     sync.Mutex
	shards map[string]*shard
	count  int
}

// shard is the memory of one tenure of one shard.
type shard struct {
	begun lease.OwnershipStart
	// vouches is the time from which all ids let through are remembered.
	completeFrom time.Time
	taken        map[string]entry
}

type entry struct {
	submission string
	createdAt  time.Time
	// free is set once the sending is known not to have run.
	released bool
}

// Take lets an id through, once.
func (le *Ledger) Take(req TakeRequest) Decision {
	id, err := Parse(req.ID)
	if err != nil {
		return Decision{Reason: reason.IDMalformed}
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	sh := le.shard(id.Shard())
	if sh == nil {
		return Decision{Reason: reason.ClaimAway}
	}
	en, recorded := sh.taken[id.Text]
	if recorded && !en.released {
		return Decision{Granted: en.submission == req.Submission, Reason: conflictReason(en, req)}
	}
	if why := le.checkAdmissible(sh, id, recorded); why != reason.None {
		return Decision{Reason: why}
	}
	if !recorded {
		le.count++
	}
	sh.taken[id.Text] = entry{submission: req.Submission, createdAt: id.CreatedAt}
	return Decision{Granted: true}
}

func conflictReason(en entry, req TakeRequest) reason.Reason {
	if en.submission == req.Submission {
		return reason.None
	}
	return reason.ClaimTaken
}

// check says whether an id that is not held may be let through.
func (le *Ledger) checkAdmissible(sh *shard, id ID, recorded bool) reason.Reason {
	now := time.Now()
	switch {
	case id.CreatedAt.After(now.Add(le.Rules.Skew)):
		return reason.IDMalformed
	case now.Sub(id.CreatedAt) > le.Rules.Window:
		return reason.IDStale
	case !recorded && id.CreatedAt.Before(sh.completeFrom.Add(le.Rules.Skew)):
		return reason.ClaimBefore
	case !recorded && le.count >= le.Rules.MaxIDs && !le.prune(now):
		return reason.ClaimFull
	}
	return reason.None
}

// shard returns the memory of the present tenure, or nil if the shard is not
// owned. A tenure that began anew starts with no memory.
func (le *Ledger) shard(resource string) *shard {
	begun := le.Since(resource)
	if !le.Owns(resource) {
		return nil
	}
	return le.tenureShard(resource, begun)
}

// memory returns the memory of a tenure. It is that of the giver if the shard
// was handed over with the tenure's first assignment, and else begins empty.
func (le *Ledger) tenureShard(resource string, begun lease.OwnershipStart) *shard {
	sh := le.shards[resource]
	if sh != nil && sh.begun == begun {
		return sh
	}
	if le.shards == nil {
		le.shards = map[string]*shard{}
	}
	next := &shard{begun: begun, completeFrom: begun.At, taken: map[string]entry{}}
	if sh != nil {
		le.count -= len(sh.taken)
		if sh.begun == (lease.OwnershipStart{Epoch: begun.Epoch}) {
			next.completeFrom, next.taken = sh.completeFrom, sh.taken
			le.count += len(sh.taken)
		}
	}
	le.shards[resource] = next
	return next
}

// prune forgets ids too old to be let through again, by any owner's clock. It
// reports whether there is room.
func (le *Ledger) prune(now time.Time) bool {
	retention := le.Rules.Window + 2*le.Rules.Skew
	for _, sh := range le.shards {
		for text, en := range sh.taken {
			if now.Sub(en.createdAt) > retention {
				delete(sh.taken, text)
				le.count--
			}
		}
	}
	return le.count < le.Rules.MaxIDs
}

// Release notes that a sending let through certainly did not run, so that its
// id may be let through again.
func (le *Ledger) Release(req ReleaseRequest) {
	id, err := Parse(req.ID)
	if err != nil {
		return
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	sh := le.shards[id.Shard()]
	if sh == nil {
		return
	}
	en, ok := sh.taken[id.Text]
	if ok && en.submission == req.Submission {
		en.released = true
		sh.taken[id.Text] = en
	}
}

// Export returns the memory of a shard that this host has ceased to act on,
// for the owner in the assignment that follows epoch.
func (le *Ledger) Export(resource string, since lease.OwnershipStart, epoch int64) Handover {
	le.mu.Lock()
	defer le.mu.Unlock()
	sh := le.tenureShard(resource, since)
	// Rounded up: the time may only grow on its way.
	ho := Handover{Resource: resource, Epoch: epoch, CompleteFrom: sh.completeFrom.UnixMilli() + 1, Taken: map[string]string{}}
	for text, en := range sh.taken {
		if !en.released {
			ho.Taken[text] = en.submission
		}
	}
	return ho
}

// Import takes the memory of a shard that this host is to own from the
// assignment after the giver's last. It counts only if the tenure begins with
// that very assignment: after any other, the giver may have let through more.
func (le *Ledger) Import(ho Handover) {
	le.mu.Lock()
	defer le.mu.Unlock()
	if sh := le.shards[ho.Resource]; sh != nil {
		owned := !sh.begun.At.IsZero()
		if sh.begun.Epoch > ho.Epoch || (owned && sh.begun.Epoch == ho.Epoch) {
			// Late: the memory here is of that tenure already, or a later one,
			// or this host is the giver itself.
			return
		}
		le.count -= len(sh.taken)
	}
	sh := &shard{
		begun:        lease.OwnershipStart{Epoch: ho.Epoch + 1},
		completeFrom: time.UnixMilli(ho.CompleteFrom),
		taken:        make(map[string]entry, len(ho.Taken)),
	}
	for text, submission := range ho.Taken {
		if id, err := Parse(text); err == nil {
			sh.taken[text] = entry{submission: submission, createdAt: id.CreatedAt}
		}
	}
	if le.shards == nil {
		le.shards = map[string]*shard{}
	}
	le.count += len(sh.taken)
	le.shards[ho.Resource] = sh
}
