// Package claim ensures that a request marked run-once runs at most once,
// whichever entry hosts it is sent through and however often.
//
// Ids are divided into shards. The entry host that owns a shard records the ids
// it has admitted, and admits each once. Requests cause no writes to the table.
// The records are lost with the owner, and a new owner does not know which of
// the ids created before its tenure were admitted, so it answers "unknown" for
// them without running the request; the creation time is part of an id. A
// former owner cannot have admitted ids created after the tenure began, because
// its own tenure had ended by then, provided that clocks differ by less than
// [Rules.Skew].
//
// An owner that gives up a shard in a planned handover first sends its records
// to the next owner.
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

// Shards is the number of id shards per data centre.
const Shards = 24

// Rules holds the time limits and bounds; all entry hosts must use the same.
type Rules struct {
	// Window is how long after its creation an id may be admitted.
	Window time.Duration
	// Skew is the maximum difference between the wall clocks of callers and
	// entry hosts.
	Skew time.Duration
	// MaxIDs limits the ids that one owner records.
	MaxIDs int
}

// DefaultRules let a caller repeat an id for ten minutes. A record takes about
// 200 bytes, so that MaxIDs limits the memory to about 20 MB.
var DefaultRules = Rules{Window: 10 * time.Minute, Skew: 2 * time.Second, MaxIDs: 100_000}

// ID is the id of a run-once request: a UUIDv7, optionally followed by @ and
// the data centre that records it.
type ID struct {
	// Text is the complete id; ids are equal if their texts are.
	Text string
	// CreatedAt is the time in the UUIDv7, by the caller's clock.
	CreatedAt time.Time
	// Home is the data centre in the id; if empty, [ID.HomeIn] selects one.
	Home string
}

// ErrMalformed is returned for an id that does not have the required form.
var ErrMalformed = errors.New("not a UUIDv7 with an optional @data-centre")

// errNotOwner says that the host asked does not own the shard.
var errNotOwner = errors.New("host does not own the shard")

// Parse parses an id; its errors wrap [ErrMalformed].
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

// NewID returns a new id recorded by the given data centre; with an empty one
// it is selected by [ID.HomeIn].
func NewID(home string) string {
	uid := uuid.Must(uuid.NewV7()).String()
	if home == "" {
		return uid
	}
	return uid + "@" + home
}

// HomeIn returns the data centre that records the id: the one in the id, or
// else one of dcs selected by a hash of the id.
func (id ID) HomeIn(dcs []string) string {
	if id.Home != "" || len(dcs) == 0 {
		return id.Home
	}
	return spread.Preferred(id.Text, dcs, 1)[0]
}

// Shard returns the name of the id's shard, a resource with an owner.
func (id ID) Shard() string {
	return shardName(int(xxhash.Sum64String(id.Text) % Shards))
}

func shardName(n int) string { return "ids/" + strconv.Itoa(n) }

// Resources returns the names of all id shards of a data centre.
func Resources() []string {
	res := make([]string, Shards)
	for n := range res {
		res[n] = shardName(n)
	}
	return res
}

// TakeRequest asks the owner of a shard to admit an id.
type TakeRequest struct {
	// ID is the text of the id.
	ID string `json:"id"`
	// Submission identifies one submission of the request. The same submission
	// may ask again after a lost answer and gets the same decision.
	Submission string `json:"sending"`
}

// Decision is the owner's decision on an id.
type Decision struct {
	// Granted allows the submission to run.
	Granted bool `json:"granted"`
	// Reason says why it is not allowed to run.
	Reason reason.Reason `json:"reason,omitempty"`
}

// ReleaseRequest informs the owner that a submission has not run.
type ReleaseRequest struct {
	// ID and Submission identify it.
	ID         string `json:"id"`
	Submission string `json:"sending"`
}

// Handover carries the records of a shard to the next owner.
type Handover struct {
	// Resource is the name of the shard.
	Resource string `json:"resource"`
	// Epoch is that of the last assignment in which the sender owned it.
	Epoch int64 `json:"epoch"`
	// CompleteFrom is the creation time from which the sender's records are
	// complete, in Unix milliseconds.
	CompleteFrom int64 `json:"vouches_from"`
	// Taken maps admitted ids to their submissions.
	Taken map[string]string `json:"taken"`
}

// Ledger holds the records of an owner. Set the exported fields before use; it
// is safe for concurrent use.
type Ledger struct {
	// Owns reports whether this host owns a shard at the moment.
	Owns func(resource string) bool
	// Since returns the start of the current or last tenure.
	Since func(resource string) lease.OwnershipStart
	// Rules holds the time limits and bounds.
	Rules Rules

	mu     sync.Mutex
	shards map[string]*shard
	count  int
}

// shard holds the records of one tenure of one shard.
type shard struct {
	// begun is the start of the tenure; its At is zero while the records were
	// imported and the tenure has not begun.
	begun lease.OwnershipStart
	// completeFrom is the creation time from which all admitted ids are
	// recorded.
	completeFrom time.Time
	// taken maps admitted ids to their entries.
	taken map[string]entry
}

type entry struct {
	submission string
	createdAt  time.Time
	// released is set once the submission is known not to have run.
	released bool
}

// Take admits an id for one submission. Other submissions of the id are denied
// until that one is released.
func (le *Ledger) Take(req TakeRequest) Decision {
	id, err := Parse(req.ID)
	if err != nil {
		return Decision{Reason: reason.IDMalformed}
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	sh := le.shard(id.Shard())
	if sh == nil {
		return Decision{Reason: reason.ClaimOwnerUnavailable}
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

// conflictReason returns why a request for an admitted id is denied, or
// [reason.None] for the admitted submission itself.
func conflictReason(en entry, req TakeRequest) reason.Reason {
	if en.submission == req.Submission {
		return reason.None
	}
	return reason.ClaimTaken
}

// checkAdmissible checks an id that is not recorded, or that was released.
func (le *Ledger) checkAdmissible(sh *shard, id ID, recorded bool) reason.Reason {
	now := time.Now()
	switch {
	case id.CreatedAt.After(now.Add(le.Rules.Skew)):
		return reason.IDMalformed
	case now.Sub(id.CreatedAt) > le.Rules.Window:
		return reason.IDStale
	case !recorded && id.CreatedAt.Before(sh.completeFrom.Add(le.Rules.Skew)):
		return reason.ClaimBeforeTenure
	case !recorded && le.count >= le.Rules.MaxIDs && !le.prune(now):
		return reason.ClaimMemoryFull
	}
	return reason.None
}

// shard returns the records of the current tenure, or nil if the shard is not
// owned.
func (le *Ledger) shard(resource string) *shard {
	begun := le.Since(resource)
	if !le.Owns(resource) {
		return nil
	}
	return le.tenureShard(resource, begun)
}

// tenureShard returns the records of a tenure. They are those of the former
// owner if the shard was handed over for the tenure's first assignment, and
// otherwise start empty.
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

// prune drops ids too old to be admitted again by the clock of any owner. It
// reports whether there is space for another id.
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

// Release records that an admitted submission has not run, so that its id may
// be admitted again.
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

// Export returns the records of a shard that this host has stopped serving, for
// the owner in the assignment that follows epoch.
func (le *Ledger) Export(resource string, since lease.OwnershipStart, epoch int64) Handover {
	le.mu.Lock()
	defer le.mu.Unlock()
	sh := le.tenureShard(resource, since)
	// Rounded up to the next millisecond: an earlier time would claim records
	// that do not exist.
	ho := Handover{Resource: resource, Epoch: epoch, CompleteFrom: sh.completeFrom.UnixMilli() + 1, Taken: map[string]string{}}
	for text, en := range sh.taken {
		if !en.released {
			ho.Taken[text] = en.submission
		}
	}
	return ho
}

// Import adopts the records of a shard that this host is to own from the
// assignment after the sender's last one. They apply only if the tenure begins
// with exactly that assignment: after any other, the sender may have admitted
// more ids.
func (le *Ledger) Import(ho Handover) {
	le.mu.Lock()
	defer le.mu.Unlock()
	if sh := le.shards[ho.Resource]; sh != nil {
		owned := !sh.begun.At.IsZero()
		if sh.begun.Epoch > ho.Epoch || (owned && sh.begun.Epoch == ho.Epoch) {
			// A late handover: the records here belong to that tenure or a
			// later one, or this host is the sender itself.
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
