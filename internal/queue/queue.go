// Package queue is the operator's configuration of queues and services, and
// finds the queue of a request.
//
// A configuration comes whole and is never changed; hosts replace it by a
// newer one. Version numbers only rise.
package queue

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// Queue is one queue.
type Queue struct {
	// Name is the operator's.
	Name string
	// Host and PathPrefix are what a request's host and path must match.
	Host       string
	PathPrefix string
	// Service names the workers that run its tasks.
	Service string
	// Priority 0 comes first.
	Priority int
	// MaxFailures is how often one task may fail.
	MaxFailures int
	// Stretch and AllowanceMS say how soon a job should be done; see [job.Terms].
	Stretch     float64
	AllowanceMS int64
	// Advised queues may run a step only where an advisor allows it.
	Advised bool
}

// Terms returns what a job accepted now is held to.
func (qu Queue) Terms() job.Terms {
	return job.Terms{Queue: qu.Name, Service: qu.Service, Priority: qu.Priority, MaxFailures: max(qu.MaxFailures, 1),
		Stretch: qu.Stretch, AllowanceMS: qu.AllowanceMS}
}

// Config is one version of the configuration.
type Config struct {
	// Version rises with every change; 0 is none.
	Version int64
	// MaxBody is the largest body of a request, in bytes.
	MaxBody int64

	byHost map[string][]Queue
	byName map[string]Queue
}

// New returns a configuration with the given queues.
func New(version, maxBody int64, queues []Queue) *Config {
	co := &Config{Version: version, MaxBody: maxBody, byHost: map[string][]Queue{}, byName: map[string]Queue{}}
	for _, qu := range queues {
		co.byName[qu.Name] = qu
		co.byHost[qu.Host] = append(co.byHost[qu.Host], qu)
	}
	for _, list := range co.byHost {
		slices.SortFunc(list, func(a, b Queue) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return co
}

// Queue returns the queue of a name.
func (co *Config) Queue(name string) (Queue, bool) {
	qu, ok := co.byName[name]
	return qu, ok
}

// Match finds the queue with the longest prefix of the path, and what of the
// path follows it.
func (co *Config) Match(host, path string) (qu Queue, rest string, ok bool) {
	for _, qu := range co.byHost[host] {
		if rest, ok := strings.CutPrefix(path, qu.PathPrefix); ok {
			return qu, rest, true
		}
	}
	return Queue{}, "", false
}
