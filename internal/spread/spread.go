// Package spread divides things evenly among hosts, the same way on every
// host that knows the same names and without a word between them.
package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AssignEvenly gives each item a host. It is rendezvous hashing with a bound: no host
// gets more than its even share, rounded up, and an item whose first choice
// is full goes to its next. A host that comes or goes moves about its share of
// items and few more. Without the bound, 17 items over 3 hosts can split as
// unevenly as 9, 5 and 3.
func AssignEvenly(items, hosts []string) map[string]string {
	given := make(map[string]string, len(items))
	if len(hosts) == 0 {
		return given
	}
	most := (len(items) + len(hosts) - 1) / len(hosts)
	count := map[string]int{}
	for _, ch := range choices(items, hosts) {
		if given[ch.item] == "" && count[ch.host] < most {
			given[ch.item] = ch.host
			count[ch.host]++
		}
	}
	return given
}

// Preferred returns the first n hosts by preference for the item.
func Preferred(item string, hosts []string, n int) []string {
	chs := choices([]string{item}, hosts)
	first := make([]string, 0, n)
	for _, ch := range chs[:min(n, len(chs))] {
		first = append(first, ch.host)
	}
	return first
}

type choice struct {
	item, host string
	score      uint64
}

// choices returns all pairs, best first, in an order that depends on the
// names alone.
func choices(items, hosts []string) []choice {
	all := make([]choice, 0, len(items)*len(hosts))
	for _, it := range items {
		for _, ho := range hosts {
			all = append(all, choice{item: it, host: ho, score: xxhash.Sum64String(ho + "\x00" + it)})
		}
	}
	slices.SortFunc(all, func(a, b choice) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.item, b.item), cmp.Compare(a.host, b.host))
	})
	return all
}
