// Package proptest runs property tests of package rapid reproducibly: with a fixed seed,
// which PEPPERHATCH_SEED overrides to search for failures, and without files of failed
// inputs. It is for tests only, and as it sets rapid's global flags, not for parallel ones.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// defaultSeed is the seed if PEPPERHATCH_SEED is not set.
const defaultSeed = "20261202"

// Size is the number and the length of the inputs to try; zero fields take rapid's
// defaults.
type Size struct {
	// Checks is the number of inputs, and Steps the average number of actions of a
	// state machine test in each.
	Checks int
	Steps  int
}

// Seed returns the seed. It is for random tests that are too slow for [Check], which runs
// a failed property many times to shrink its input.
func Seed(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("PEPPERHATCH_SEED")
	if text == "" {
		text = defaultSeed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("PEPPERHATCH_SEED: %v", err)
	}
	return seed
}

// Check tests a property with package rapid.
func Check(t *testing.T, si Size, prop func(*rapid.T)) {
	t.Helper()
	set(t, "rapid.seed", strconv.FormatUint(Seed(t), 10))
	set(t, "rapid.nofailfile", "true")
	if si.Checks > 0 {
		set(t, "rapid.checks", strconv.Itoa(si.Checks))
	}
	if si.Steps > 0 {
		set(t, "rapid.steps", strconv.Itoa(si.Steps))
	}
	rapid.Check(t, prop)
}

// set sets a command-line flag until the end of the test.
func set(t *testing.T, name, value string) {
	t.Helper()
	before := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, before) })
}

// InBubble runs part of a property in a bubble of package synctest, whose clock advances
// only when all its goroutines are blocked. Rapid ends an input by a panic: it is
// recovered in the bubble and raised again outside.
func InBubble(t *testing.T, fn func()) {
	t.Helper()
	var panicked any
	synctest.Test(t, func(*testing.T) {
		defer func() { panicked = recover() }()
		fn()
	})
	if panicked != nil {
		panic(panicked)
	}
}
