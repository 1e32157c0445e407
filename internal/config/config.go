// Package config has the configuration that operators change at run time, and
// distributes it to every entry host.
//
// The configuration is one row of the table: a version and the values that differ from
// the defaults. A change is checked, then written by compare-and-set. Every entry host
// reads the row about once a second and learns of versions from its peers, which also
// send the values while the table is unavailable. A host never goes back to a lower
// version, and is not ready before it has one.
package config

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Key documents one key of the configuration.
type Key struct {
	// Name is the key's name; one that ends in a dot is the prefix of several keys.
	Name string
	// Default is the value of a key that is not set.
	Default string
	// Meaning describes the key and its unit.
	Meaning string
	// check returns an error for an invalid value.
	check func(string) error
}

// Names of keys.
const (
	QueueLimit      = "route.queue-limit"
	BatchEvery      = "route.batch-every"
	RetryRatio      = "route.retry-ratio"
	DeadlineLatency = "route.deadline-latency-critical"
	DeadlineBatch   = "route.deadline-batch"
	MaxQuarantined  = "upstream.max-aside"
	TailTarget      = "place.tail-target"
	WeightTail      = "place.weight-tail"
	WeightEvictions = "place.weight-evictions"
	WeightBatch     = "place.weight-batch"
	EvictionBudget  = "place.eviction-budget"
	LeaseService    = "cell.lease-service"
	LeaseBatch      = "cell.lease-batch"
	QuotaPrefix     = "quota."
)

// Keys documents all keys.
var Keys = []Key{
	{QueueLimit, "1024", "most requests that wait for a runner of one service at one entry host", checkMinInt(1)},
	{BatchEvery, "8", "while latency-critical requests wait, one request in this many is a batch request", checkMinInt(1)},
	{RetryRatio, "0.1", "retries that each request adds to the retry budget", checkFraction},
	{DeadlineLatency, "2s", "deadline of a latency-critical request that states none", checkDuration},
	{DeadlineBatch, "60s", "deadline of a batch request that states none", checkDuration},
	{MaxQuarantined, "0.5", "largest fraction of a service's runners in a data centre that may be quarantined", checkFraction},
	{TailTarget, "100ms", "target for the p99 latency of service tasks", checkDuration},
	{WeightTail, "1", "cost of a service over its target, relative to the other weights", checkWeight},
	{WeightEvictions, "1", "cost of one eviction, relative to the other weights", checkWeight},
	{WeightBatch, "1", "cost of a minute of lost batch work, relative to the other weights", checkWeight},
	{EvictionBudget, "6", "most evictions a minute that a cell starts on its own", checkMinInt(0)},
	{LeaseService, "30s", "lease duration of service tasks at their workers", checkDuration},
	{LeaseBatch, "10s", "lease duration of batch tasks at their workers", checkDuration},
	{QuotaPrefix, "", "quota.TEAM: most resources of the team's tasks in a cell, as cores:N,mem:MB,accels:N", checkQuota},
}

func checkMinInt(least int) func(string) error {
	return func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < least {
			return fmt.Errorf("want an integer of at least %d", least)
		}
		return nil
	}
}

func checkFraction(text string) error {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || f < 0 || f > 1 {
		return errors.New("want a number from 0 to 1")
	}
	return nil
}

func checkWeight(text string) error {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || f < 0 || f > 1e6 {
		return errors.New("want a number from 0 to 1e6")
	}
	return nil
}

func checkDuration(text string) error {
	d, err := time.ParseDuration(text)
	if err != nil || d < time.Millisecond || d > time.Hour {
		return errors.New("want a duration from 1ms to 1h")
	}
	return nil
}

func checkQuota(text string) error {
	_, err := ParseQuota(text)
	return err
}

// ParseQuota parses a quota, such as cores:120,mem:480000,accels:2 with mem in MB.
// Resources left out are unlimited.
func ParseQuota(text string) (worker.Resources, error) {
	re := worker.Resources{MilliCores: unlimited, MemMB: unlimited, Accels: unlimited}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, ":")
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil || n < 0 {
			return re, fmt.Errorf("%q: want cores:N,mem:MB,accels:N", field)
		}
		switch name {
		case "cores":
			re.MilliCores = n * 1000
		case "mem":
			re.MemMB = n
		case "accels":
			re.Accels = n
		default:
			return re, fmt.Errorf("%q: want cores, mem or accels", name)
		}
	}
	return re, nil
}

// unlimited is the amount of a resource that a quota does not limit.
const unlimited = int64(1) << 60

// findKey returns the documentation of a key.
func findKey(name string) (Key, bool) {
	for _, ke := range Keys {
		if ke.Name == name {
			return ke, true
		}
		if strings.HasSuffix(ke.Name, ".") && strings.HasPrefix(name, ke.Name) && len(name) > len(ke.Name) {
			return ke, true
		}
	}
	return Key{}, false
}

// Doc is one version of the configuration. It is immutable.
type Doc struct {
	// Version is the number of changes; 0 has only defaults.
	Version int64 `json:"version"`
	// Values are the values of the keys that are set.
	Values map[string]string `json:"values,omitempty"`
}

// With returns the next version with the changes applied; an empty value resets a key to
// its default. The error lists all mistakes.
func (do Doc) With(changes map[string]string) (Doc, error) {
	next := Doc{Version: do.Version + 1, Values: map[string]string{}}
	maps.Copy(next.Values, do.Values)
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(changes)) {
		value := changes[name]
		ke, ok := findKey(name)
		switch {
		case !ok:
			errs = append(errs, fmt.Errorf("%s: no such key", name))
		case value == "":
			delete(next.Values, name)
		default:
			if err := ke.check(value); err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", name, err))
			}
			next.Values[name] = value
		}
	}
	return next, errors.Join(errs...)
}

// Text returns a key's value.
func (do Doc) Text(name string) string {
	if value, ok := do.Values[name]; ok {
		return value
	}
	ke, _ := findKey(name)
	return ke.Default
}

// Int returns a key's value as an integer.
func (do Doc) Int(name string) int {
	n, _ := strconv.Atoi(do.Text(name))
	return n
}

// Float returns a key's value as a float.
func (do Doc) Float(name string) float64 {
	f, _ := strconv.ParseFloat(do.Text(name), 64)
	return f
}

// Duration returns a key's value as a duration.
func (do Doc) Duration(name string) time.Duration {
	d, _ := time.ParseDuration(do.Text(name))
	return d
}

// Quotas returns the quotas of the teams that have one.
func (do Doc) Quotas() map[string]worker.Resources {
	quotas := map[string]worker.Resources{}
	for name, value := range do.Values {
		if team, ok := strings.CutPrefix(name, QuotaPrefix); ok {
			quotas[team], _ = ParseQuota(value)
		}
	}
	return quotas
}

// All returns all keys, set or not, with their values.
func (do Doc) All() map[string]string {
	all := maps.Clone(do.Values)
	if all == nil {
		all = map[string]string{}
	}
	for _, ke := range Keys {
		if _, set := all[ke.Name]; !set && !strings.HasSuffix(ke.Name, ".") {
			all[ke.Name] = ke.Default
		}
	}
	return all
}

// rowKey is the key of the configuration's row.
const rowKey = "config"

// ErrConflict is returned for a change that is based on an outdated version.
var ErrConflict = errors.New("configuration has changed since")

// Store holds the version in force at this host.
type Store struct {
	// Table is the client of the platform's table.
	Table store.Table
	// Apply, if not nil, is called with each version that comes into force, in order.
	Apply func(Doc)

	mu      sync.Mutex
	current atomic.Pointer[Doc]
}

// Current returns the version in force; ok is false if there is none yet.
func (st *Store) Current() (doc Doc, ok bool) {
	do := st.current.Load()
	if do == nil {
		return Doc{}, false
	}
	return *do, true
}

// Adopt puts a version in force if it is higher than the current one, and reports
// whether it did.
func (st *Store) Adopt(do Doc) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	cur := st.current.Load()
	if cur != nil && cmp.Compare(do.Version, cur.Version) <= 0 {
		return false
	}
	st.current.Store(&do)
	if st.Apply != nil {
		st.Apply(do)
	}
	return true
}

// Poll reads the row and adopts its version.
func (st *Store) Poll(ctx context.Context) error {
	_, _, err := st.read(ctx)
	return err
}

func (st *Store) read(ctx context.Context) (Doc, int64, error) {
	var do Doc
	rowVer, err := st.Table.Get(ctx, rowKey, &do)
	if err != nil {
		return do, 0, fmt.Errorf("read configuration: %w", err)
	}
	st.Adopt(do)
	return do, rowVer, nil
}

// ExtraRow is a row written in the same transaction as a change.
type ExtraRow struct {
	// Key is the row's key, and Version the version that it must have.
	Key     string
	Version int64
	// Value is the row's new content.
	Value any
}

// Change writes the changes on top of version basis, together with one more row, and
// returns the new version. The error is [ErrConflict] if there is a later version of the
// configuration or another version of the row.
func (st *Store) Change(ctx context.Context, basis int64, changes map[string]string, also ExtraRow) (Doc, error) {
	do, rowVer, err := st.read(ctx)
	if err != nil {
		return do, err
	}
	if do.Version != basis {
		return do, fmt.Errorf("%w: planned on version %d, now %d", ErrConflict, basis, do.Version)
	}
	next, err := do.With(changes)
	if err != nil {
		return do, err
	}
	txn, err := store.NewTxn().WithPut(rowKey, rowVer, next)
	if err != nil {
		return do, err
	}
	if txn, err = txn.WithPut(also.Key, also.Version, also.Value); err != nil {
		return do, err
	}
	_, err = st.Table.Settle(ctx, txn)
	if errors.Is(err, store.ErrConflict) {
		return do, fmt.Errorf("%w: %w", ErrConflict, err)
	}
	if err != nil {
		return do, fmt.Errorf("write configuration: %w", err)
	}
	st.Adopt(next)
	return next, nil
}
