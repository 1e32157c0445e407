// Package config has the configuration that operators change at run time and
// its way to every entry host.
//
// It is one row of the table: a version and the values that differ from the
// defaults. A change is checked, then written by compare-and-set. Every entry
// host looks at the row about once a second and hears of versions from its
// peers, which hand over the values too when the table is away. A host never
// takes a version lower than it has, and one that has none yet is not ready.
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
	// Name is the key; one that ends in a dot begins the names of many.
	Name string
	// Default is the value when it is not set.
	Default string
	// Meaning says what it does, and in what unit.
	Meaning string
	// check refuses a value.
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
	{QueueLimit, "1024", "requests that may wait for a runner of one service at one entry host", wholeFrom(1)},
	{BatchEvery, "8", "batch requests get one turn in so many while latency-critical ones wait", wholeFrom(1)},
	{RetryRatio, "0.1", "retries earned by one request", part},
	{DeadlineLatency, "2s", "deadline of a latency-critical request that states none", span},
	{DeadlineBatch, "60s", "deadline of a batch request that states none", span},
	{MaxQuarantined, "0.5", "part of a service's runners in a data centre that may be set aside", part},
	{TailTarget, "100ms", "p99 that service tasks are to keep", span},
	{WeightTail, "1", "cost of a service over its target, against the other weights", positive},
	{WeightEvictions, "1", "cost of one eviction, against the other weights", positive},
	{WeightBatch, "1", "cost of a minute of batch work lost, against the other weights", positive},
	{EvictionBudget, "6", "evictions a minute that a cell may make of its own accord", wholeFrom(0)},
	{LeaseService, "30s", "lease of service tasks at their workers", span},
	{LeaseBatch, "10s", "lease of batch tasks at their workers", span},
	{QuotaPrefix, "", "quota.TEAM: what the team's tasks may hold in a cell, as cores:N,mem:MB,accels:N", quota},
}

func wholeFrom(least int) func(string) error {
	return func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < least {
			return fmt.Errorf("want a whole number from %d", least)
		}
		return nil
	}
}

func part(text string) error {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || f < 0 || f > 1 {
		return errors.New("want a number from 0 to 1")
	}
	return nil
}

func positive(text string) error {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || f < 0 || f > 1e6 {
		return errors.New("want a number from 0 to 1e6")
	}
	return nil
}

func span(text string) error {
	d, err := time.ParseDuration(text)
	if err != nil || d < time.Millisecond || d > time.Hour {
		return errors.New("want a time from 1ms to 1h")
	}
	return nil
}

func quota(text string) error {
	_, err := ParseQuota(text)
	return err
}

// ParseQuota reads a quota, for instance cores:120,mem:480000,accels:2. What
// is left out is not limited.
func ParseQuota(text string) (worker.Resources, error) {
	re := worker.Resources{MilliCores: noLimit, MemMB: noLimit, Accels: noLimit}
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

const noLimit = int64(1) << 60

// find returns the entry of a key.
func find(name string) (Key, bool) {
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

// Doc is one version of the configuration. It is not changed once made.
type Doc struct {
	// Version counts changes; 0 is the defaults.
	Version int64 `json:"version"`
	// Values are the keys set.
	Values map[string]string `json:"values,omitempty"`
}

// With returns the next version, with values changed; an empty one goes back
// to the default. Every mistake is named at once.
func (do Doc) With(changes map[string]string) (Doc, error) {
	next := Doc{Version: do.Version + 1, Values: map[string]string{}}
	maps.Copy(next.Values, do.Values)
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(changes)) {
		value := changes[name]
		ke, ok := find(name)
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
	ke, _ := find(name)
	return ke.Default
}

// Int returns a key's value as a whole number.
func (do Doc) Int(name string) int {
	n, _ := strconv.Atoi(do.Text(name))
	return n
}

// Float returns a key's value as a number.
func (do Doc) Float(name string) float64 {
	f, _ := strconv.ParseFloat(do.Text(name), 64)
	return f
}

// Duration returns a key's value as a time.
func (do Doc) Duration(name string) time.Duration {
	d, _ := time.ParseDuration(do.Text(name))
	return d
}

// Quotas returns the quota of every team that has one.
func (do Doc) Quotas() map[string]worker.Resources {
	quotas := map[string]worker.Resources{}
	for name, value := range do.Values {
		if team, ok := strings.CutPrefix(name, QuotaPrefix); ok {
			quotas[team], _ = ParseQuota(value)
		}
	}
	return quotas
}

// All returns every key with its value, in order of name.
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

// rowKey is the configuration's row.
const rowKey = "config"

// ErrConflict is returned when the configuration has changed since.
var ErrConflict = errors.New("configuration has changed since")

// Store holds the version in force at this host.
type Store struct {
	// Table is the platform's.
	Table store.Table
	// Apply is called with each version that comes into force, in order.
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

// Adopt puts a version in force, if it is higher than the one that is.
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

// Poll reads the row and adopts what it says.
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

// ExtraRow is a row written along with a change.
type ExtraRow struct {
	// Key and Version name the row as it must be.
	Key     string
	Version int64
	// Value is its new content.
	Value any
}

// Change writes the changes on top of the version that they were planned on,
// along with one more row, and returns the new version. The error is
// [ErrConflict] if there is a later version, or another one of the row.
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
