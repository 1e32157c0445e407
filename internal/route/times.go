package route

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// timesMax and timesDigits shape the histograms: 1 microsecond to a
	// minute with two digits, about 40 KB each.
	maxMicros       = int64(time.Minute / time.Microsecond)
	histogramDigits = 2
	// timesMethods bounds the methods learnt apart; more share one entry.
	maxMethods = 16
	// timesWindow is how many answers make a window, after which the oldest
	// half is forgotten.
	windowSamples = 2000
	// timesFew is how many answers must be known before a quantile is used.
	minSamples = 100
	// needQuantile is the service time, in percent, that must be left for a
	// request to be given to a runner. What is over it may come late, so it
	// is set for less than one late answer in 1,000, the deadline being the
	// tightest possible for every request.
	tailQuantile = 99.9
	meanWeight   = 0.05
	otherMethods = "other"
)

// Times learns service times per method. The zero value knows none, and then
// estimates are zero: nothing is refused on a guess.
type ServiceTimes struct {
	methods map[string]*methodTimes
	mean    float64
}

type methodTimes struct {
	older, newer *hdrhistogram.Histogram
	tail         time.Duration
	count        int
}

// Add takes the time of one answer.
func (ti *ServiceTimes) Add(method string, took time.Duration) {
	if ti.methods == nil {
		ti.methods = map[string]*methodTimes{}
	}
	if ti.mean == 0 {
		ti.mean = took.Seconds()
	}
	ti.mean += meanWeight * (took.Seconds() - ti.mean)
	ti.method(method).add(took)
}

func (ti *ServiceTimes) method(name string) *methodTimes {
	mt := ti.methods[name]
	if mt == nil && len(ti.methods) >= maxMethods {
		name = otherMethods
		mt = ti.methods[name]
	}
	if mt == nil {
		mt = &methodTimes{newer: newHistogram(), older: newHistogram()}
		ti.methods[name] = mt
	}
	return mt
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, histogramDigits)
}

func (mt *methodTimes) add(took time.Duration) {
	_ = mt.newer.RecordValue(min(maxMicros, max(1, took.Microseconds())))
	mt.count++
	if mt.count >= minSamples && mt.count%minSamples == 0 {
		q := max(mt.newer.ValueAtQuantile(tailQuantile), mt.older.ValueAtQuantile(tailQuantile))
		mt.tail = time.Duration(q) * time.Microsecond
	}
	if mt.newer.TotalCount() >= windowSamples {
		mt.older, mt.newer = mt.newer, mt.older
		mt.newer.Reset()
	}
}

// Needs returns the time that a request of the method needs, to be in time
// nearly always; 0 if too little is known.
func (ti *ServiceTimes) Tail(method string) time.Duration {
	mt := ti.methods[method]
	if mt == nil {
		mt = ti.methods[otherMethods]
	}
	if mt == nil {
		return 0
	}
	return mt.tail
}

// Mean returns the mean time over all methods; 0 if none is known.
func (ti *ServiceTimes) Mean() time.Duration {
	return time.Duration(ti.mean * float64(time.Second))
}
