package headroom

import "time"

// Key identifies the jobs whose demand is measured together.
type Key struct {
	Service  string
	Priority int
}

// Demands has the demand of each service and priority. Its zero value is ready to use.
type Demands struct {
	byKey map[Key]*Demand
}

// Of returns the demand under a key, which it creates if needed.
func (ds *Demands) Of(ke Key) *Demand {
	de := ds.byKey[ke]
	if de == nil {
		if ds.byKey == nil {
			ds.byKey = map[Key]*Demand{}
		}
		de = &Demand{}
		ds.byKey[ke] = de
	}
	return de
}

// Load returns the demand of a service's jobs whose priority is not lower than that of the key,
// which are those with at most its number.
func (ds *Demands) Load(ke Key, now time.Time) Load {
	var sum Load
	for other, de := range ds.byKey {
		if other.Service == ke.Service && other.Priority <= ke.Priority {
			sum = sum.Add(de.Load(now))
		}
	}
	return sum
}

// Lowest returns a key for each service with a demand, which includes all its priorities.
func (ds *Demands) Lowest() []Key {
	lowest := map[string]int{}
	for ke := range ds.byKey {
		if known, ok := lowest[ke.Service]; !ok || ke.Priority > known {
			lowest[ke.Service] = ke.Priority
		}
	}
	list := make([]Key, 0, len(lowest))
	for service, priority := range lowest {
		list = append(list, Key{Service: service, Priority: priority})
	}
	return list
}
