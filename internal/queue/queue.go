// Package queue holds the operator's configuration of queues and services, and finds the
// queue for a request.
//
// A configuration is immutable; hosts replace it as a whole by a newer one. Version numbers
// only increase. Reading and distributing configurations is left to other packages.
package queue

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// Queue is the configuration of one queue.
type Queue struct {
	// Name is the name that the operator gave the queue.
	Name string
	// Host and PathPrefix select requests: the host must be equal, the path must begin
	// with the prefix.
	Host       string
	PathPrefix string
	// Service is the name of the service whose workers run the queue's tasks.
	Service string
	// Priority 0 is the highest.
	Priority int
	// MaxFailures is the number of failures after which a task is given up.
	MaxFailures int
	// Stretch and AllowanceMS set the target duration of jobs; see [job.Terms].
	Stretch     float64
	AllowanceMS int64
	// Advised is set if an advisor must approve where a step runs.
	Advised bool
}

// Terms returns the terms of a job that is accepted now. A task may fail at least once.
func (qu Queue) Terms() job.Terms {
	return job.Terms{Queue: qu.Name, Service: qu.Service, Priority: qu.Priority, MaxFailures: max(qu.MaxFailures, 1),
		Stretch: qu.Stretch, AllowanceMS: qu.AllowanceMS}
}

// Config is one version of the configuration.
type Config struct {
	// Version increases with every change; 0 if there is no configuration.
	Version int64
	// MaxBody is the size limit of a request's body, in bytes.
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

// Queue returns the queue with the given name.
func (co *Config) Queue(name string) (Queue, bool) {
	qu, ok := co.byName[name]
	return qu, ok
}

// Match returns the queue of the host with the longest matching path prefix, and the rest
// of the path after that prefix.
func (co *Config) Match(host, path string) (qu Queue, rest string, ok bool) {
	for _, qu := range co.byHost[host] {
		if rest, ok := strings.CutPrefix(path, qu.PathPrefix); ok {
			return qu, rest, true
		}
	}
	return Queue{}, "", false
}
