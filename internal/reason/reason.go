// Package reason lists every reason for which a request is refused, lost or retried. The
// words are part of the interface: callers receive them, metrics have them as labels,
// and the table in docs/OPERATIONS.md is generated from this list.
package reason

// Reason is a stable word for a refusal, a loss or a retry.
type Reason string

// Reasons for which a request ends without an answer.
const (
	// None is the reason of an answered request.
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
	// Meaning describes what happened.
	Meaning string
	// Action describes what an operator can do about it.
	Action string
}

// Refusals documents the reasons for which a request ends without an answer.
var Refusals = []Entry{
	{Malformed, "the request lacks a field or has an invalid one", "fix the caller"},
	{BodyTooLarge, "the body is over the port's limit", "fix the caller, or raise --max-body"},
	{Busy, "the entry host is at its limit of requests in flight", "add entry hosts, or raise --max-in-flight"},
	{Stopping, "the entry host is in a planned stop", "none: callers return through another entry host"},
	{NotReady, "the entry host has no configuration yet", "see whether the table or any peer can be reached"},
	{NoRunner, "no runner of the service accepts work", "see status: runners leaving, quarantined or removed"},
	{QueueFull, "the queue is at its limit", "add runners"},
	{TooLate, "the answer could not arrive before the deadline", "add runners, or give requests longer deadlines"},
	{Expired, "the deadline expired in the queue, before a runner had the request", "as for too-late"},
	{RetryBudget, "the attempt failed and the retry budget is used up", "look at the retry reasons"},
	{AllRefused, "all runners that were tried refused the request before running it", "look at the runners"},
	{AnswerLost, "a runner had the request and no complete answer arrived", "look at the runners and the network"},
	{PeerLost, "a peer had the request and no complete answer arrived", "look at the peer and the network"},
	{CallerGone, "the caller gave up or its connection closed", "none"},
	{IDMalformed, "the id of a request marked run_once is not a UUIDv7", "fix the caller"},
	{IDStale, "the id is older than the time for which ids are retained", "fix the caller: generate the id together with the request"},
	{ClaimTaken, "a request with this id was accepted before and may have run", "none: the first request has the answer"},
	{ClaimOwnerUnavailable, "the owner of the id's shard cannot be reached", "see status: a network fault, or a takeover in progress"},
	{ClaimBeforeTenure, "the id was generated before the shard's owner took over", "none: it resolves itself within seconds"},
	{ClaimMemoryFull, "the owner is at its limit of retained ids", "add entry hosts, or raise --max-claims"},
	{SessionToken, "the session's resume token is invalid", "fix the caller"},
	{SessionLimit, "the entry host is at its limit of sessions", "add entry hosts, or raise --max-sessions"},
	{SessionNoRunner, "no runner of the service accepts the session", "as for no-runner"},
}

// Retries documents the reasons for which a request is retried.
var Retries = []Entry{
	{RetryConnect, "the runner could not be reached", "look at the runner"},
	{RetryFull, "the runner's slots were all in use: entry hosts disagree on who is its primary", "none if rare"},
	{RetryLeaving, "the runner reported that it is leaving", "none"},
	{RetryRefused, "the runner refused for a reason of its own", "look at the runner"},
	{RetryLost, "the runner had the request and no complete answer arrived", "look at the runner"},
	{RetryForeign, "the answer belongs to another request, or is not marked as an answer", "look at the runner"},
	{RetryHedge, "the answer took longer than almost all answers, and a second runner was free", "look for a slow or hanging runner"},
	{RetryPeer, "a peer that was reported to have free slots had none", "none if rare"},
}
