// Package capacity sums up the capacity of a cell by data centre and service.
package capacity

// Key identifies the workers that are summed up together.
type Key struct {
	DataCentre, Service string
}

// Figures is the capacity of some workers. All but the numbers of workers are in thousandths of a
// core.
type Figures struct {
	// Workers counts the workers, Available those of them that accept new tasks.
	Workers, Available int
	// Total is the capacity of all, Usable that of the available ones.
	Total, Usable int64
	// LongRunning is what long-running tasks reserve on all of them, Finite what tasks that end by
	// themselves do.
	LongRunning, Finite int64
	// Idle is the processor time of the available workers that no task is expected to use.
	Idle int64
}

// Add returns the sum of both.
func (fi Figures) Add(other Figures) Figures {
	fi.add(&other)
	return fi
}

// add adds other figures in place, as copies would take most of the time of a tally.
func (fi *Figures) add(other *Figures) {
	fi.Workers += other.Workers
	fi.Available += other.Available
	fi.Total += other.Total
	fi.Usable += other.Usable
	fi.LongRunning += other.LongRunning
	fi.Finite += other.Finite
	fi.Idle += other.Idle
}

// changedShare is the part of the total capacity by which a figure has to change to be logged.
const changedShare = 0.1

// changedFrom reports whether the numbers of workers differ, or another figure by a tenth of the
// total capacity.
func (fi Figures) changedFrom(old Figures) bool {
	if fi.Workers != old.Workers || fi.Available != old.Available {
		return true
	}
	limit := int64(changedShare * float64(max(fi.Total, old.Total)))
	for _, diff := range []int64{fi.Total - old.Total, fi.Usable - old.Usable, fi.LongRunning - old.LongRunning, fi.Finite - old.Finite, fi.Idle - old.Idle} {
		if max(diff, -diff) > limit {
			return true
		}
	}
	return false
}

// Groups numbers keys, so that a round of placement adds up workers without looking up their keys.
// Keys are kept for good, as there are few. The zero value is ready to use.
type Groups struct {
	keys    []Key
	numbers map[Key]int
}

// Number returns the number of a key, which is at least 1.
func (gr *Groups) Number(ke Key) int {
	if n, ok := gr.numbers[ke]; ok {
		return n
	}
	if gr.numbers == nil {
		gr.numbers = map[Key]int{}
	}
	gr.keys = append(gr.keys, ke)
	gr.numbers[ke] = len(gr.keys)
	return len(gr.keys)
}

// Tally returns a tally of no workers.
func (gr *Groups) Tally() *Tally {
	return &Tally{gr: gr, figures: make([]Figures, len(gr.keys))}
}

// Tally adds up workers for one [Summary].
type Tally struct {
	gr      *Groups
	figures []Figures
}

// Add adds a worker under the number of its key.
func (ta *Tally) Add(number int, fi Figures) {
	for len(ta.figures) < number {
		ta.figures = append(ta.figures, Figures{})
	}
	ta.figures[number-1].add(&fi)
}

// Summary returns the sums. The tally must not be used any more.
func (ta *Tally) Summary() Summary {
	return Summary{keys: ta.gr.keys[:len(ta.figures)], figures: ta.figures}
}

// Summary is the capacity by data centre and service at one moment. It does not change; the zero
// value has no workers.
type Summary struct {
	keys    []Key
	figures []Figures
}

// Keys returns the keys in the order in which they were first seen.
func (su Summary) Keys() []Key { return su.keys }

// Of returns the figures of a key.
func (su Summary) Of(ke Key) Figures {
	for i, other := range su.keys {
		if other == ke {
			return su.figures[i]
		}
	}
	return Figures{}
}

// OfService returns the figures of a service in all data centres.
func (su Summary) OfService(service string) Figures {
	var sum Figures
	for i, ke := range su.keys {
		if ke.Service == service {
			sum = sum.Add(su.figures[i])
		}
	}
	return sum
}

// Changed returns the keys whose figures differ notably from those of an earlier summary.
func (su Summary) Changed(old Summary) []Key {
	var list []Key
	for i, ke := range su.keys {
		if su.figures[i].changedFrom(old.Of(ke)) {
			list = append(list, ke)
		}
	}
	return list
}

// With returns the summary with other figures for a key.
func (su Summary) With(ke Key, fi Figures) Summary {
	next := Summary{}
	for i, other := range su.keys {
		if other != ke {
			next.keys, next.figures = append(next.keys, other), append(next.figures, su.figures[i])
		}
	}
	next.keys, next.figures = append(next.keys, ke), append(next.figures, fi)
	return next
}
