// Package proptest runs property tests of package rapid so that they give the
// same verdict every time: from a fixed seed, which PEPPERHATCH_SEED changes
// for a search, and leaving no files behind. It is for tests only.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// defaultSeed is the seed unless PEPPERHATCH_SEED says another.
const defaultSeed = "20261202"

// Size says how much is tried; zero fields take rapid's defaults.
type Size struct {
	// Checks is the number of sequences, Steps their average length.
	Checks int
	Steps  int
}

// Seed returns the seed, for tests that are too slow to be tried again and again on
// smaller inputs, as [Check] does with what fails.
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

// Check runs a property.
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

// set sets a flag for the time of the test.
func set(t *testing.T, name, value string) {
	t.Helper()
	before := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, before) })
}

// InBubble runs part of a property on a clock that moves only when all wait.
// Rapid ends a sequence by a panic, which leaves the bubble here before it
// goes on.
func InBubble(t *testing.T, fn func()) {
	t.Helper()
	var stopped any
	synctest.Test(t, func(*testing.T) {
		defer func() { stopped = recover() }()
		fn()
	})
	if stopped != nil {
		panic(stopped)
	}
}
