package store

import "time"

// doubtFor is how long a list is not believed that lacks most of the hosts of
// the list before.
const doubtFor = 30 * time.Second

// ListFilter keeps a host list that has lost most hosts at once from taking
// them out of service: that is more often a fault of the list than of half the
// hosts. Hosts that are really gone show by themselves, by failed requests and
// silence. The zero value is ready.
type ListFilter struct {
	last  []Host
	since time.Time
}

// Accept takes the list as read now and returns the one to go by. While in
// doubt that is the list before, with what the new one says of hosts that it
// has.
func (lf *ListFilter) Accept(next []Host) []Host {
	now := time.Now()
	if !lf.doubtful(next) {
		lf.since = time.Time{}
		lf.last = next
		return next
	}
	if lf.since.IsZero() {
		lf.since = now
	}
	if now.Sub(lf.since) > doubtFor {
		lf.since = time.Time{}
		lf.last = next
		return next
	}
	return merged(lf.last, next)
}

// doubtful reports whether most hosts of a kind are missing.
func (lf *ListFilter) doubtful(next []Host) bool {
	listed := map[string]bool{}
	for _, ho := range next {
		listed[ho.ID] = true
	}
	all, missing := map[HostKind]int{}, map[HostKind]int{}
	for _, ho := range lf.last {
		all[ho.Kind]++
		if !listed[ho.ID] {
			missing[ho.Kind]++
		}
	}
	for kind, n := range missing {
		if n > 1 && 2*n > all[kind] {
			return true
		}
	}
	return false
}

// merged returns the hosts of both lists, as the later one has them.
func merged(last, next []Host) []Host {
	listed := map[string]bool{}
	for _, ho := range next {
		listed[ho.ID] = true
	}
	hosts := append([]Host{}, next...)
	for _, ho := range last {
		if !listed[ho.ID] {
			hosts = append(hosts, ho)
		}
	}
	return hosts
}
