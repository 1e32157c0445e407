package store

import "time"

// implausibleFor is how long a list that lacks most hosts of the previous list is not
// used.
const implausibleFor = 30 * time.Second

// ListFilter keeps hosts in service when a host list lacks most of them at once: that is
// more often a fault of the list than of half the hosts. Hosts that are really lost are
// detected by failed requests and missing answers. The zero value is ready to use.
type ListFilter struct {
	last             []Host
	implausibleSince time.Time
}

// Accept takes the list just read and returns the list to use. While the new list is
// implausible, that is the previous list, updated with the entries of the new one.
func (lf *ListFilter) Accept(next []Host) []Host {
	now := time.Now()
	if !lf.implausible(next) {
		lf.implausibleSince = time.Time{}
		lf.last = next
		return next
	}
	if lf.implausibleSince.IsZero() {
		lf.implausibleSince = now
	}
	if now.Sub(lf.implausibleSince) > implausibleFor {
		lf.implausibleSince = time.Time{}
		lf.last = next
		return next
	}
	return mergeHosts(lf.last, next)
}

// implausible reports whether most hosts of a kind, and more than one, are missing from a
// list.
func (lf *ListFilter) implausible(next []Host) bool {
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

// mergeHosts returns the hosts of both lists, with the entries of the later list where
// both have one.
func mergeHosts(last, next []Host) []Host {
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
