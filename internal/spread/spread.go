// Package spread assigns items evenly to hosts. The result depends only on the names, so that
// all hosts that know the same names agree without communication.
package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AssignEvenly returns the host of each item, by rendezvous hashing with a bound: no host gets
// more than its even share, rounded up, and an item whose preferred host is full goes to the
// next one in its order of preference. Adding or removing a host moves about its share of the
// items and few others. Without the bound, 17 items on 3 hosts can be split as unevenly as 9,
// 5 and 3. The result is empty if there are no hosts.
func AssignEvenly(items, hosts []string) map[string]string {
	assigned := make(map[string]string, len(items))
	if len(hosts) == 0 {
		return assigned
	}
	limit := (len(items) + len(hosts) - 1) / len(hosts)
	count := map[string]int{}
	for _, ch := range choices(items, hosts) {
		if assigned[ch.item] == "" && count[ch.host] < limit {
			assigned[ch.item] = ch.host
			count[ch.host]++
		}
	}
	return assigned
}

// Preferred returns the first n hosts in the item's order of preference, or all hosts if there
// are fewer.
func Preferred(item string, hosts []string, n int) []string {
	chs := choices([]string{item}, hosts)
	preferred := make([]string, 0, n)
	for _, ch := range chs[:min(n, len(chs))] {
		preferred = append(preferred, ch.host)
	}
	return preferred
}

// choice is a pair of an item and a host; a higher score is preferred.
type choice struct {
	item, host string
	score      uint64
}

// choices returns all pairs of item and host, best first, in an order that depends only on the
// names.
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
