// Package reason lists every reason for which a request is refused, lost or
// tried again. The words are part of the interface: callers get them, metrics
// are labelled with them, and docs/OPERATIONS.md has the same table.
package reason

// Reason is a stable word for a refusal, a loss or a retry.
type Reason string

// Reasons for which a request ends unanswered.
const (
	// None is the reason of what went well.
	None Reason = ""

	Malformed             Reason = "malformed"
	BodyTooLarge          Reason = "body-too-large"
	Busy                  Reason = "busy"
	Stopping              Reason = "stopping"
	NotReady              Reason = "not-ready"
	NoRunner              Reason = "no-runner"
	QueueFull             Reason = "queue-full"
	TooLate               Reason = "too-late"
	Expired               Reason = "expired"
	RetryBudget           Reason = "retry-budget"
	AllRefused            Reason = "all-refused"
	AnswerLost            Reason = "answer-lost"
	PeerLost              Reason = "peer-lost"
	CallerGone            Reason = "caller-gone"
	IDMalformed           Reason = "id-malformed"
	IDStale               Reason = "id-stale"
	ClaimTaken            Reason = "claim-taken"
	ClaimOwnerUnavailable Reason = "claim-owner-away"
	ClaimBeforeTenure     Reason = "claim-before-tenure"
	ClaimMemoryFull       Reason = "claim-memory-full"
	SessionToken          Reason = "session-token"
	SessionLimit          Reason = "session-limit"
	SessionNoRunner       Reason = "session-no-runner"
)

// Reasons for which a request is sent to another runner.
const (
	RetryConnect Reason = "connect-failed"
	RetryFull    Reason = "refused-full"
	RetryLeaving Reason = "refused-leaving"
	RetryRefused Reason = "refused-other"
	RetryLost    Reason = "answer-lost"
	RetryForeign Reason = "answer-foreign"
	RetryPeer    Reason = "peer-refused"
	RetryHedge   Reason = "hedged"
)

// Entry documents one reason.
type Entry struct {
	// Reason is the word.
	Reason Reason
	// Meaning says what happened.
	Meaning string
	// Action says what an operator may do about it.
	Action string
}

// Refusals documents the reasons for which a request ends unanswered.
var Refusals = []Entry{
	{Malformed, "the request lacks a field or has one that cannot be read", "mend the caller"},
	{BodyTooLarge, "the body is over the port's limit", "mend the caller, or raise --max-body"},
	{Busy, "the entry host has as many requests in flight as it takes", "add entry hosts, or raise --max-in-flight"},
	{Stopping, "the entry host is in a planned stop", "none: callers come back through another entry host"},
	{NotReady, "the entry host has no configuration yet", "see whether the table or any peer can be reached"},
	{NoRunner, "no runner of the service takes work", "see status: runners leaving, set aside or gone"},
	{QueueFull, "the queue is as long as it may be", "add runners"},
	{TooLate, "the answer could not come before the deadline", "add runners, or give requests more time"},
	{Expired, "the deadline passed in the queue, before a runner had the request", "as for too-late"},
	{RetryBudget, "the attempt failed and the budget for retries is used up", "look at the retry reasons"},
	{AllRefused, "every runner tried refused the request before running it", "look at the runners"},
	{AnswerLost, "a runner had the request and no whole answer came", "look at the runners and the network"},
	{PeerLost, "a peer had the request and no whole answer came", "look at the peer and the network"},
	{CallerGone, "the caller gave up or its connection closed", "none"},
	{IDMalformed, "a request marked run_once has no UUIDv7 as id", "mend the caller"},
	{IDStale, "the id is older than ids are remembered", "mend the caller: make the id when the request is made"},
	{ClaimTaken, "the id was let through before; it may have run", "none: the first sending has the answer"},
	{ClaimOwnerUnavailable, "the owner of the id's shard cannot be reached", "see status: a cut, or a takeover under way"},
	{ClaimBeforeTenure, "the id was made before the shard's owner took over", "none: it passes in seconds"},
	{ClaimMemoryFull, "the owner remembers as many ids as it may", "add entry hosts, or raise --max-claims"},
	{SessionToken, "the session's resume token cannot be read", "mend the caller"},
	{SessionLimit, "the entry host has as many sessions as it takes", "add entry hosts, or raise --max-sessions"},
	{SessionNoRunner, "no runner of the service takes the session", "as for no-runner"},
}

// Retries documents the reasons for which a request is tried again.
var Retries = []Entry{
	{RetryConnect, "the runner could not be reached", "look at the runner"},
	{RetryFull, "the runner's slots were all in use: entry hosts disagree on who is its primary", "none if rare"},
	{RetryLeaving, "the runner said that it is leaving", "none"},
	{RetryRefused, "the runner refused for a reason of its own", "look at the runner"},
	{RetryLost, "the runner had the request and no whole answer came", "look at the runner"},
	{RetryForeign, "the answer was not the request's own, or not marked as an answer", "look at the runner"},
	{RetryHedge, "the answer took longer than nearly all do, and a second runner was free", "look for a slow or hanging runner"},
	{RetryPeer, "a peer that was said to have free slots had none", "none if rare"},
}
