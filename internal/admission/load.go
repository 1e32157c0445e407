package admission

import (
	"cmp"
	"slices"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// minIdlePart is the part of its processor time that a filler must find idle on a worker.
const minIdlePart = 0.3

// Host is the capacity of one available worker.
type Host struct {
	// Usable is what long-running tasks leave to tasks that end by themselves, Free the part
	// that no task reserves.
	Usable, Free worker.Resources
	// Idle is the processor time that fillers can use, in thousandths of a core, FreeIdle the
	// part of it that no filler is expected to use.
	Idle, FreeIdle int64
	// Labels are the labels that steps may require.
	Labels []string
}

// Work is the accepted work of one kind of one job.
type Work struct {
	// Kind, Priority and Cost are those of the job; see [Request].
	Kind     Kind
	Priority int
	Cost     float64
	// Left is the remaining work, Waiting the processors that those of its tasks need that may
	// start now but have not, in thousandths of a core.
	Left, Waiting int64
}

// compareWork orders work as it is placed.
func compareWork(a, b Work) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Cost, b.Cost))
}

// Load is a snapshot of the workers and the accepted work of one service. Work that is accepted
// later is added to it, so that it can be used for some time. The zero value is empty.
type Load struct {
	hosts []Host
	kinds [kinds]kindLoad
	// shapes caches the capacity for tasks of one shape, as jobs of a queue are often alike.
	shapes map[shape]shapeCapacity
}

// shape is what the capacity for a task depends on.
type shape struct {
	kind  Kind
	each  worker.Resources
	label string
}

// shapeCapacity is the capacity for tasks of one shape; see [Forecast].
type shapeCapacity struct{ capacity, free int64 }

// kindLoad is the part of a load of one kind of work.
type kindLoad struct {
	// total is the capacity for tasks of any size.
	total      int64
	efficiency float64
	// sorted is the work in the order in which it is placed; sums has for each length of a
	// prefix the sums of its work.
	sorted []Work
	sums   []workSum
	// added is the work that was accepted since.
	added []Work
	// arrivals is the work that was accepted within the last arrivalWindow, in the same order,
	// and arrivalSums the sums of its prefixes.
	arrivals    []Work
	arrivalSums []workSum
}

type workSum struct{ left, waiting int64 }

// sumWork returns the sums of all prefixes.
func sumWork(list []Work) []workSum {
	sums := make([]workSum, len(list)+1)
	for i, wo := range list {
		sums[i+1] = workSum{left: sums[i].left + wo.Left, waiting: sums[i].waiting + wo.Waiting}
	}
	return sums
}

// before returns the sums of the sorted work that is ordered before a request or equal to it.
func before(sorted []Work, sums []workSum, own Work) workSum {
	n, _ := slices.BinarySearchFunc(sorted, own, func(wo, own Work) int {
		if compareWork(wo, own) <= 0 {
			return -1
		}
		return 1
	})
	if n == 0 {
		return workSum{}
	}
	return sums[n]
}

// NewLoad returns the load of hosts by accepted work. arrivals is the work of the jobs that
// arrived recently, see [Arrivals.Recent]. It keeps the slices.
func NewLoad(hosts []Host, work, arrivals []Work) *Load {
	lo := &Load{hosts: hosts}
	for i := range hosts {
		lo.kinds[Reserving].total += max(hosts[i].Usable.MilliCores, 0)
		lo.kinds[Filler].total += max(hosts[i].Idle, 0)
	}
	slices.SortFunc(work, compareWork)
	for _, wo := range work {
		kl := &lo.kinds[wo.Kind]
		kl.sorted = append(kl.sorted, wo)
	}
	slices.SortFunc(arrivals, compareWork)
	for _, wo := range arrivals {
		kl := &lo.kinds[wo.Kind]
		kl.arrivals = append(kl.arrivals, wo)
	}
	for ki := range lo.kinds {
		kl := &lo.kinds[ki]
		kl.sums, kl.arrivalSums = sumWork(kl.sorted), sumWork(kl.arrivals)
	}
	return lo
}

// Total returns the capacity for a kind of work, in thousandths of a core, and whether tasks of
// that kind wait to be started.
func (lo *Load) Total(ki Kind) (total int64, waiting bool) {
	kl := &lo.kinds[ki]
	return kl.total, len(kl.sums) > 0 && kl.sums[len(kl.sums)-1].waiting > 0
}

// SetEfficiency sets the efficiency of a kind of work, as returned by [Throughput.Efficiency].
func (lo *Load) SetEfficiency(ki Kind, efficiency float64) { lo.kinds[ki].efficiency = efficiency }

// Add adds the work of a job that was accepted after the load was taken.
func (lo *Load) Add(wo Work) {
	kl := &lo.kinds[wo.Kind]
	kl.added = append(kl.added, wo)
}

// Forecast returns the forecast for a request.
func (lo *Load) Forecast(re Request) Forecast {
	kl := &lo.kinds[re.Kind]
	sc := lo.capacityFor(shape{kind: re.Kind, each: re.Each, label: re.Label})
	fo := Forecast{Capacity: sc.capacity, Free: sc.free, Total: kl.total, Efficiency: kl.efficiency}
	own := Work{Priority: re.Priority, Cost: re.Cost}
	sum := before(kl.sorted, kl.sums, own)
	fo.Ahead, fo.Waiting = sum.left, sum.waiting
	fo.Arriving = before(kl.arrivals, kl.arrivalSums, own).left / arrivalWindow.Milliseconds()
	for _, wo := range kl.added {
		if compareWork(wo, own) <= 0 {
			fo.Ahead, fo.Waiting = fo.Ahead+wo.Left, fo.Waiting+wo.Waiting
		}
	}
	return fo
}

// capacityFor returns the capacity for tasks of a shape.
func (lo *Load) capacityFor(sh shape) shapeCapacity {
	if known, ok := lo.shapes[sh]; ok {
		return known
	}
	var sc shapeCapacity
	for i := range lo.hosts {
		ho := &lo.hosts[i]
		switch {
		case sh.label != "" && !slices.Contains(ho.Labels, sh.label):
		case sh.kind == Filler:
			sc.capacity += fillable(sh.each, ho.Usable, ho.Idle)
			sc.free += fillable(sh.each, ho.Free, ho.FreeIdle)
		default:
			sc.capacity += wholeTasks(sh.each, ho.Usable)
			sc.free += wholeTasks(sh.each, ho.Free)
		}
	}
	if lo.shapes == nil {
		lo.shapes = map[shape]shapeCapacity{}
	}
	lo.shapes[sh] = sc
	return sc
}

// wholeTasks returns the processors that whole tasks of a size can use of free resources, in
// thousandths of a core.
func wholeTasks(each, free worker.Resources) int64 {
	if each.MilliCores <= 0 || !each.Fits(free) {
		return 0
	}
	return tasksOf(each, free) * each.MilliCores
}

// fillable returns the processors that fillers of a size can use of idle ones; the other
// resources are reserved.
func fillable(each, free worker.Resources, idle int64) int64 {
	if each.MilliCores <= 0 || float64(idle) < minIdlePart*float64(each.MilliCores) {
		return 0
	}
	free.MilliCores = max(idle, each.MilliCores)
	if !each.Fits(free) {
		return 0
	}
	// One more task than whole ones fit can use the rest of the idle time.
	free.MilliCores += each.MilliCores
	return min(idle, tasksOf(each, free)*each.MilliCores)
}

// tasksOf returns how many tasks of a size fit into free resources.
func tasksOf(each, free worker.Resources) int64 {
	n := free.MilliCores / each.MilliCores
	if each.MemMB > 0 {
		n = min(n, free.MemMB/each.MemMB)
	}
	if each.Accels > 0 {
		n = min(n, free.Accels/each.Accels)
	}
	return n
}
