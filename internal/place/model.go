package place

// Model holds what was learnt about the interference between kinds of tasks. The zero
// value has learnt nothing.
type Model struct {
	pairs map[pair]float64
	// baselines has the tail latency of each kind of service without neighbours, as a
	// fraction of its target.
	baselines map[string]float64
}

type pair struct{ service, batch string }

// Parameters of learning.
const (
	// priorInterference is assumed of a pair that has not been seen together: the fraction
	// of the service's target that one core of the batch task adds to the tail.
	priorInterference = 0.02
	learningRate      = 0.05
	// priorBaseline is the tail assumed of a service without neighbours, as a fraction of
	// its target.
	priorBaseline = 0.5
)

// Interference returns what one core of a batch kind adds to the tail latency of a service
// kind, as a fraction of the target.
func (mo *Model) Interference(service, batch string) float64 {
	if d, ok := mo.pairs[pair{service, batch}]; ok {
		return d
	}
	return priorInterference
}

func (mo *Model) baseline(service string) float64 {
	if tail, ok := mo.baselines[service]; ok {
		return tail
	}
	return priorBaseline
}

// Neighbour is a batch task that ran beside a service when its tail was measured.
type Neighbour struct {
	// Kind is the kind of the batch task.
	Kind string
	// Cores is the number of cores that it used.
	Cores float64
}

// LearnTail updates the model with one measurement of a service's tail latency, as a
// fraction of its target, and the neighbours at that time. It learns the baseline of the
// service and what a core of each batch kind adds, by normalised least mean squares: the
// error of the prediction is distributed in proportion to each one's contribution.
func (mo *Model) LearnTail(service string, tail float64, neighbours []Neighbour) {
	byKind := map[string]float64{}
	norm, predicted := 1.0, mo.baseline(service)
	for _, ne := range neighbours {
		byKind[ne.Kind] += ne.Cores
	}
	for kind, cores := range byKind {
		norm += cores * cores
		predicted += mo.Interference(service, kind) * cores
	}
	if mo.pairs == nil {
		mo.pairs = map[pair]float64{}
		mo.baselines = map[string]float64{}
	}
	residual := tail - predicted
	mo.baselines[service] = max(0, mo.baseline(service)+learningRate*residual/norm)
	for kind, cores := range byKind {
		next := mo.Interference(service, kind) + learningRate*residual*cores/norm
		mo.pairs[pair{service, kind}] = max(0, next)
	}
}
