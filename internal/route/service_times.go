package route

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros and histogramDigits define the histograms: 1 microsecond to one
	// minute with two significant digits, about 40 KB each.
	maxMicros       = int64(time.Minute / time.Microsecond)
	histogramDigits = 2
	// maxMethods limits the methods with their own entry; the others share one.
	maxMethods = 16
	// windowSamples is the number of answers in a window; a full window
	// replaces the one before, whose answers are dropped.
	windowSamples = 2000
	// minSamples is the number of answers needed before a quantile is used.
	minSamples = 100
	// tailQuantile is the percentile of the service time that must be left
	// before the deadline when a runner gets a request. Requests that take
	// longer may be late; 99.9 gives less than one late answer in 1,000 even if
	// every request has the tightest possible deadline.
	tailQuantile = 99.9
	// meanWeight is the weight of one answer in the moving average.
	meanWeight = 0.05
	// otherMethods is the name of the entry that methods share beyond
	// maxMethods.
	otherMethods = "other"
)

// ServiceTimes estimates service times per method. The zero value has no
// samples, and its estimates are zero, so that no request is refused without
// data.
type ServiceTimes struct {
	methods map[string]*methodTimes
	mean    float64
}

type methodTimes struct {
	older, newer *hdrhistogram.Histogram
	tail         time.Duration
	count        int
}

// Add records the service time of one answer.
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

// Tail returns the 99.9th percentile of the method's service time; 0 if there
// are too few samples.
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

// Mean returns the moving average over all methods; 0 without samples.
func (ti *ServiceTimes) Mean() time.Duration {
	return time.Duration(ti.mean * float64(time.Second))
}
