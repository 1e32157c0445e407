// Package transit measures for how long capacity of a worker is in transit: from the end of an
// attempt until the next one starts there.
//
// Capacity in transit is free for the worker, and by the time that the owner learns of the end, the
// next start may be on its way already. The owner's reservations therefore show little of that time.
// The worker's clock does, as the answers to polls and to orders carry it. Times are those of that
// clock, so figures of two workers can not be compared with each other.
package transit

import (
	"log/slog"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Retention is how long ends are kept, by the worker's clock. Capacity that has been free for longer
// was not passed on.
const Retention = 3 * time.Second

// End is the end of an attempt at a worker.
type End struct {
	// ClockMS is the worker's clock, in milliseconds, when it listed the end. Unpolled is how
	// long before that the attempt ended, if no poll was waiting.
	ClockMS   int64
	Unpolled  time.Duration
	Resources worker.Resources
}

// Ends has the latest ends of a worker, oldest first.
type Ends []End

// With returns the ends with another one and without those that are too old.
func (en Ends) With(last End) Ends {
	for len(en) > 0 && last.ClockMS-en[0].ClockMS > Retention.Milliseconds() {
		en = en[1:]
	}
	return append(en, last)
}

// Enabling returns the end since which a worker has had the needed resources, if it now has free
// ones. It is false if the worker had them before the ends.
func (en Ends) Enabling(need, free worker.Resources) (End, bool) {
	for i := len(en) - 1; i >= 0; i-- {
		if free = free.Sub(en[i].Resources); !need.Fits(free) {
			return en[i], true
		}
	}
	return End{}, false
}

// Sum adds up the transit of capacity over some time. Its zero value is ready to use.
type Sum struct {
	starts           int
	listed, unpolled time.Duration
	longest          time.Duration
}

// Add adds the transit before one start: the time since the end was listed, and that from the end
// until it was listed.
func (su *Sum) Add(listed, unpolled time.Duration) {
	su.starts++
	su.listed += listed
	su.unpolled += unpolled
	su.longest = max(su.longest, listed+unpolled)
}

// Starts returns the number of starts.
func (su *Sum) Starts() int { return su.starts }

// Attrs returns the sums as attributes of a log line. The sum of all transit divided by the
// time over which it was added up is how much capacity was in transit on average at any time, in
// tasks.
func (su *Sum) Attrs(over time.Duration) []slog.Attr {
	if su.starts == 0 {
		return nil
	}
	sum := su.listed + su.unpolled
	return []slog.Attr{
		slog.Int("starts", su.starts), slog.Duration("transit", sum/time.Duration(su.starts)),
		slog.Duration("unpolled", su.unpolled/time.Duration(su.starts)), slog.Duration("longest_transit", su.longest),
		slog.Float64("in_transit", float64((100*sum/over))/100),
	}
}
