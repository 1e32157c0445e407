// Package outstanding tracks the start orders of a task that may still be carried out.
//
// An order without an answer may be carried out until [MaxDelay] after it was sent, and by
// another process than the one it was sent to: one that restarted under the id of the worker
// has seen no fencing token, and cannot tell that the order was meant for its predecessor. So
// what one process answers says nothing of the next one, and an order stays outstanding beyond
// the end of its attempt. Meanwhile the task may start again only on the same worker, as at most
// one process at a time has the id of a worker, and each of them refuses orders with a fencing
// token below the highest that it has seen.
//
// An attempt that an outstanding order starts runs for a whole lease at most, unless its worker
// answers. The package knows nothing of leases; its caller says when they have ended.
package outstanding

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// MaxDelay is how long after it was sent an order without an answer may be carried out.
const MaxDelay = 12 * time.Second

// Orders are the outstanding start orders of one task. The zero value has none.
type Orders struct{ list []order }

// Addressee is the worker that an order was sent to.
type Addressee struct {
	// Worker is its id, and HostPort its listen address, or empty if that is not known.
	Worker, HostPort string
}

type order struct {
	attempt int
	to      Addressee
	// until is the latest time at which it is carried out. It is an upper bound that may be
	// lowered if estimated is set.
	until     time.Time
	estimated bool
	// runs is the process that was seen to run the attempt, if any.
	runs worker.Incarnation
}

// Sent records that the order to start an attempt was sent to a worker by the given time. For
// an order that was recorded before, that time replaces the earlier one.
func (os *Orders) Sent(attempt int, to Addressee, sentBy time.Time) {
	os.add(order{attempt: attempt, to: to, until: sentBy.Add(MaxDelay)})
}

// Inherited records an order of a former owner, which ceased to send orders by the given time.
func (os *Orders) Inherited(attempt int, to Addressee, ceasedBy time.Time) {
	os.add(order{attempt: attempt, to: to, until: ceasedBy.Add(MaxDelay), estimated: true})
}

// Stated records that a former owner stated until when orders may be carried out.
func (os *Orders) Stated(to Addressee, until time.Time) {
	os.add(order{to: to, until: until})
}

// Runs records that a process runs an attempt that its owner has ended. Until the process or the
// attempt has ended, no other attempt may start. Calls that extend the leases of the process may
// have been sent until the given time.
func (os *Orders) Runs(attempt int, process worker.Incarnation, sentBy time.Time) {
	os.add(order{attempt: attempt, to: Addressee{Worker: process.ID}, until: sentBy.Add(MaxDelay), runs: process})
}

func (os *Orders) add(or order) {
	os.Settle(or.attempt)
	os.list = append(os.list, or)
}

// Settle records that the order to start an attempt is not outstanding any more, as it was
// carried out, refused or not sent. It reports whether it was outstanding.
func (os *Orders) Settle(attempt int) bool {
	return os.remove(func(or order) bool { return or.attempt == attempt })
}

// remove removes orders, and reports whether there were any.
func (os *Orders) remove(matches func(order) bool) bool {
	if os == nil {
		return false
	}
	n := len(os.list)
	os.list = slices.DeleteFunc(os.list, matches)
	return len(os.list) < n
}

// Absent records that a process which answered a request sent at the given time does not have
// any of the attempts for which absent returns true.
func (os *Orders) Absent(process worker.Incarnation, sent time.Time, absent func(attempt int) bool) {
	os.remove(func(or order) bool {
		return (or.runs == process || or.to.Worker == process.ID && sent.After(or.until)) && absent(or.attempt)
	})
}

// Refused records that another worker answers at the address of a worker, and so refuses the
// orders that were sent there.
func (os *Orders) Refused(to Addressee) {
	os.remove(func(or order) bool { return or.to == to })
}

// ProcessEnded records that a process has ended, and with it the attempts that it ran.
func (os *Orders) ProcessEnded(process worker.Incarnation) {
	os.remove(func(or order) bool { return or.runs == process })
}

// Expire removes the orders that are not carried out after the given time. By then, what they
// started must have ended.
func (os *Orders) Expire(until time.Time) {
	os.remove(func(or order) bool { return or.until.Before(until) })
}

// CeasedBy records that former owners ceased to send orders by the given time.
func (os *Orders) CeasedBy(ceasedBy time.Time) {
	if os == nil {
		return
	}
	for i := range os.list {
		if or := &os.list[i]; or.estimated && ceasedBy.Add(MaxDelay).Before(or.until) {
			or.until = ceasedBy.Add(MaxDelay)
		}
	}
}

// Empty reports whether no order is outstanding.
func (os *Orders) Empty() bool { return os == nil || len(os.list) == 0 }

// HostPort returns the address that the order to start an attempt was sent to. It returns "" if
// that order is not outstanding, or its address is not known.
func (os *Orders) HostPort(attempt int) string {
	if os == nil {
		return ""
	}
	i := slices.IndexFunc(os.list, func(or order) bool { return or.attempt == attempt })
	if i < 0 {
		return ""
	}
	return os.list[i].to.HostPort
}

// Worker returns the id of the only worker on which the task may start. It is "" if there is
// none, as an attempt still runs or orders were sent to several workers, or if no order is
// outstanding.
func (os *Orders) Worker() string {
	if os.Empty() {
		return ""
	}
	first := os.list[0].to.Worker
	if slices.ContainsFunc(os.list, func(or order) bool { return or.runs.ID != "" || or.to.Worker != first }) {
		return ""
	}
	return first
}

// Allows reports whether the task may start on a worker.
func (os *Orders) Allows(workerID string) bool {
	return os.Empty() || workerID != "" && os.Worker() == workerID
}

// Latest returns the addressee of the order that is carried out last, and until when it is, leaving
// out that of the given attempt. It returns the zero time if there is none.
func (os *Orders) Latest(without int) (to Addressee, until time.Time) {
	if os == nil {
		return to, until
	}
	for _, or := range os.list {
		if or.attempt != without && or.until.After(until) {
			to, until = or.to, or.until
		}
	}
	return to, until
}

// Attempts returns the numbers of the attempts whose orders are outstanding, for the log. Those
// that a former owner stated have the number 0.
func (os *Orders) Attempts() []int {
	if os == nil {
		return nil
	}
	var numbers []int
	for _, or := range os.list {
		numbers = append(numbers, or.attempt)
	}
	return numbers
}
