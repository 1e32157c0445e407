package config

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// changeInput is one operator's change, based on a version.
type changeInput struct {
	basis int64
	value string
}

// changeOutput is the answer to an operator.
type changeOutput struct {
	accepted bool
	// unknown is set if no answer came; the change may have been accepted.
	unknown bool
}

// register is the configuration as a sequential model.
type register struct {
	version int64
	value   string
}

// registerModel defines the valid histories: those of one copy of the configuration that
// operators change one after the other.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		st, _ := state.(register)
		in, _ := input.(changeInput)
		out, _ := output.(changeOutput)
		next := register{version: st.version + 1, value: in.value}
		fits := st.version == in.basis
		switch {
		case out.unknown && fits:
			return []any{st, next}
		case out.unknown:
			return []any{st}
		case out.accepted && fits:
			return []any{next}
		case !out.accepted && !fits:
			return []any{st}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestConcurrentChangesAreLinearizable has operators change the configuration at the
// same time through different hosts, with the table slow, unavailable or losing answers,
// and checks the history of their answers.
func TestConcurrentChangesAreLinearizable(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 150}, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]standin.Fault{
			{}, {Mode: standin.ModeLost, Count: 1}, {Mode: standin.ModeDown, Count: 2},
			{Mode: standin.ModeSlow, DelayMS: 300}, {Mode: standin.ModeLost, Count: 3},
		}), 5, 20).Draw(rt, "faults")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 400), 24, 24).Draw(rt, "pauses")
		var history []porcupine.Operation
		proptest.InBubble(t, func() { history = runOperators(faults, pauses) })
		if res := porcupine.CheckOperations(registerModel.ToModel(), history); !res {
			rt.Fatalf("no sequential order explains the history: %v", history)
		}
	})
}

// runOperators runs four operators with six changes each and returns their history.
func runOperators(faults []standin.Fault, pauses []int) []porcupine.Operation {
	const operators, changes = 4, 6
	table := &standin.Table{}
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	wg.Go(func() {
		for _, fault := range faults {
			table.Faults.Set(fault)
			time.Sleep(200 * time.Millisecond)
		}
		table.Faults.Set(standin.Fault{})
	})
	for op := range operators {
		wg.Go(func() {
			st := &Store{Table: table.Client()}
			for n := range changes {
				time.Sleep(time.Duration(pauses[op*changes+n]) * time.Millisecond)
				doc, _ := st.Current()
				in := changeInput{basis: doc.Version, value: fmt.Sprint(1 + op*changes + n)}
				call := time.Since(began).Nanoseconds()
				out := change(st, in)
				returned := time.Since(began).Nanoseconds()
				if out.unknown {
					returned = math.MaxInt64
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: op, Input: in, Output: out, Call: call, Return: returned})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history
}

func change(st *Store, in changeInput) changeOutput {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	plan := ExtraRow{Key: "plan/" + in.value, Value: in.value}
	_, err := st.Change(ctx, in.basis, map[string]string{QueueLimit: in.value}, plan)
	return changeOutput{accepted: err == nil, unknown: err != nil && !errors.Is(err, ErrConflict)}
}

// TestModelRejectsInvalidHistory checks that the model rejects two accepted changes of
// the same version.
func TestModelRejectsInvalidHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		both := []porcupine.Operation{
			{ClientId: 0, Input: changeInput{basis: 0, value: "1"}, Output: changeOutput{accepted: true}, Call: 0, Return: 10},
			{ClientId: 1, Input: changeInput{basis: 0, value: "2"}, Output: changeOutput{accepted: true}, Call: 0, Return: 10},
		}
		qt.Assert(t, porcupine.CheckOperations(registerModel.ToModel(), both), qt.IsFalse)
	})
}
