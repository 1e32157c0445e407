// Package answers records whether anything was answered since an order that was given up.
//
// A poll that shows whether a worker is lost takes up to 2.6 s, and a task placed on a lost worker
// starts elsewhere only once the leases there have lapsed. An order is given up much sooner. So tasks
// go elsewhere, as far as there is capacity, from the first order that is given up while nothing else
// from the same worker is answered. The same holds for a data centre, as each of its workers would
// otherwise take tasks until an order to it is given up.
//
// One lost answer counts until the next answer, so a record must be told of every answer. It can not
// tell a lost worker from an owner that is cut off itself, and must exclude no worker.
package answers

import "time"

// Record has the time of the last answer, and when the last order that was given up had been sent.
// Its zero value is ready to use.
type Record struct {
	answeredAt, unansweredSent time.Time
}

// Answer records an answer.
func (re *Record) Answer(at time.Time) {
	if at.After(re.answeredAt) {
		re.answeredAt = at
	}
}

// GiveUp records that an order sent at the given time was given up, and reports whether answers are
// missing only from then on.
func (re *Record) GiveUp(sent time.Time) bool {
	known := re.Missing()
	if sent.After(re.unansweredSent) {
		re.unansweredSent = sent
	}
	return !known && re.Missing()
}

// Missing reports whether nothing was answered since an order that was given up.
func (re *Record) Missing() bool { return re.unansweredSent.After(re.answeredAt) }

// AnsweredAt returns the time of the last answer, or zero.
func (re *Record) AnsweredAt() time.Time { return re.answeredAt }
