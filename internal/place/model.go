package place

// Model holds what was learnt of kinds of tasks. The zero value knows nothing.
type Model struct {
	pairs map[pair]float64
	uses  map[string]float64
}

type pair struct{ service, batch string }

// The numbers of learning.
const (
	// priorDisturbance is assumed of a pair never seen together: a core of
	// the batch task costs so much of the service's target.
	priorDisturbance = 0.02
	learnRate        = 0.2
	useRate          = 0.2
)

// Disturbance returns what one core of a batch kind adds to the tail of a
// service kind, as a part of the target.
func (mo *Model) Disturbance(service, batch string) float64 {
	if d, ok := mo.pairs[pair{service, batch}]; ok {
		return d
	}
	return priorDisturbance
}

// Neighbour is one batch task beside a service, at the time of a measurement.
type Neighbour struct {
	// Kind is its kind.
	Kind string
	// Cores is what it used.
	Cores float64
}

// Learn takes one measurement of a service's tail, as a part of its target
// above what it has alone, and the neighbours it had then. It shares the error
// of the prediction out among the kinds there, by their cores (normalised
// least mean squares).
func (mo *Model) Learn(service string, excess float64, neighbours []Neighbour) {
	byKind := map[string]float64{}
	norm, predicted := 0.0, 0.0
	for _, ne := range neighbours {
		byKind[ne.Kind] += ne.Cores
	}
	for kind, cores := range byKind {
		norm += cores * cores
		predicted += mo.Disturbance(service, kind) * cores
	}
	if norm == 0 {
		return
	}
	if mo.pairs == nil {
		mo.pairs = map[pair]float64{}
	}
	miss := excess - predicted
	for kind, cores := range byKind {
		next := mo.Disturbance(service, kind) + learnRate*miss*cores/norm
		mo.pairs[pair{service, kind}] = max(0, next)
	}
}

// LearnUse takes the part of its declared cores that a task of a kind used.
func (mo *Model) LearnUse(kind string, part float64) {
	if mo.uses == nil {
		mo.uses = map[string]float64{}
	}
	known, ok := mo.uses[kind]
	if !ok {
		known = 1
	}
	mo.uses[kind] = known + useRate*(part-known)
}

// Use returns the part of its declared cores that a kind is known to use.
func (mo *Model) Use(kind string) float64 {
	if part, ok := mo.uses[kind]; ok {
		return part
	}
	return 1
}
