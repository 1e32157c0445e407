package copies

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const expected = 800 * time.Millisecond

// running returns an attempt of job "j" that has worked for 600 ms and would take the given
// number of times what is expected.
func running(index int, on string, times float64) Attempt {
	done := int(600 / (8 * times))
	return Attempt{
		Job: "j", Index: index, Worker: on, Expected: expected, Done: done, Left: 100 - done, Worked: 600 * time.Millisecond, MayCopy: true,
	}
}

// decide returns the indices of the tasks that get copies.
func decide(jo Job, attempts ...Attempt) []int {
	chosen := []int{}
	for _, ch := range Decide(attempts, map[string]Job{"j": jo}).Choices {
		chosen = append(chosen, ch.Attempt.Index)
	}
	return chosen
}

func TestTasksOfSlowWorkersGetCopies(t *testing.T) {
	big := Job{Tasks: 40}
	for name, tc := range map[string]struct {
		jo       Job
		attempts []Attempt
		want     []int
	}{
		"slow as the others on its worker":  {big, []Attempt{running(0, "a", 5), running(1, "a", 4), running(2, "b", 1)}, []int{0, 1}},
		"long, where others are fast":       {big, []Attempt{running(0, "a", 7), running(1, "a", 1), running(2, "a", .8)}, []int{}},
		"far outside the spread, alone":     {big, []Attempt{running(0, "a", 6), running(1, "b", 1)}, []int{0}},
		"twice as long, alone":              {big, []Attempt{running(0, "a", 2), running(1, "b", 1)}, []int{}},
		"as long as its siblings elsewhere": {big, []Attempt{running(0, "a", 6), running(1, "b", 6), running(2, "c", 6), running(3, "d", 6), running(4, "e", 6)}, []int{}},
		"as long as its siblings were":      {Job{Tasks: 40, Ended: map[int]Ended{0: Ended{}.With(6*expected, expected).With(6*expected, expected).With(6*expected, expected)}}, []Attempt{running(0, "a", 6)}, []int{}},
		"above the copies of a job":         {Job{Tasks: 8, Copies: 1}, []Attempt{running(0, "a", 5), running(1, "a", 6)}, []int{1}},
	} {
		t.Run(name, func(t *testing.T) { qt.Check(t, decide(tc.jo, tc.attempts...), qt.DeepEquals, tc.want) })
	}
	t.Run("nearly done, without progress, or not allowed", func(t *testing.T) {
		for _, change := range []func(*Attempt){
			func(at *Attempt) { at.Left = 15 },
			func(at *Attempt) { at.Done = 0 },
			func(at *Attempt) { at.SinceSeen = 3 * time.Second },
			func(at *Attempt) { at.MayCopy = false },
		} {
			at := running(0, "a", 5)
			change(&at)
			qt.Check(t, decide(big, at, running(1, "a", 5)), qt.DeepEquals, []int{1})
		}
	})
	t.Run("on a silent worker", func(t *testing.T) {
		at := running(0, "a", 1)
		at.SilentFor, at.Lapses = silentAfter, 5*time.Second
		qt.Check(t, decide(big, at), qt.DeepEquals, []int{0})
		at.SilentFor--
		qt.Check(t, decide(big, at), qt.DeepEquals, []int{})
	})
}

func TestHealthyWorkers(t *testing.T) {
	pl := Decide([]Attempt{running(0, "a", 5), running(1, "a", 4), running(2, "b", 1)}, map[string]Job{"j": {Tasks: 4}})
	qt.Check(t, []bool{pl.Healthy("a"), pl.Healthy("b"), pl.Healthy("unknown")}, qt.DeepEquals, []bool{false, true, true})
}

// TestClassCountsFirstEndOfTask guards against a job that is taken for late because of an attempt
// whose copy ends sooner.
func TestClassCountsFirstEndOfTask(t *testing.T) {
	list := []Attempt{running(0, "a", 6), running(0, "b", 1), running(1, "a", 5), running(2, "c", 1)}
	list[0].MayCopy, list[1].MayCopy = false, false
	plan := Decide(list, map[string]Job{"j": {Tasks: 8, Copies: 1, Age: time.Second, Target: 2400 * time.Millisecond, Limit: 7 * time.Second}})
	qt.Assert(t, plan.Choices, qt.HasLen, 1)
	qt.Check(t, plan.Choices[0].Class, qt.Equals, InTime)
}

// TestJobsThatCanBeInTimeGoFirst guards against copies for jobs that they do not help.
func TestJobsThatCanBeInTimeGoFirst(t *testing.T) {
	jobs := map[string]Job{}
	var attempts []Attempt
	for i, age := range []time.Duration{9 * time.Second, 0, 2500 * time.Millisecond, time.Second} {
		id := fmt.Sprint("job-", i)
		jobs[id] = Job{Tasks: 4, Age: age, Target: 3 * time.Second, Limit: 5 * time.Second}
		at := running(i, "a", 5)
		at.Job = id
		attempts = append(attempts, at)
	}
	var order []string
	for _, ch := range Decide(attempts, jobs).Choices {
		order = append(order, ch.Attempt.Job+" "+ch.Class.String())
	}
	qt.Check(t, order, qt.DeepEquals, []string{"job-1 in-time", "job-3 in-time", "job-2 of-value", "job-0 too-late"})
}

// drawTimes draws how many times what is expected a task takes.
func drawTimes(rnd *rand.Rand, slow bool) float64 {
	times := math.Exp(.5 * rnd.NormFloat64())
	if rnd.IntN(100) < 3 {
		times *= 7
	}
	if slow {
		times *= 5
	}
	return times
}

// TestCopiesGoToSlowWorkers draws workers of which a sixth are five times slower, and tasks of
// which 3 in 100 are seven times as long, with the spread of the users. Most copies must be of
// tasks on slow workers, and most of the late tasks there must have one.
func TestCopiesGoToSlowWorkers(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	var onSlow, onHealthy, lateOnSlow int
	for range 200 {
		var attempts []Attempt
		for i := range 30 {
			w := rnd.IntN(12)
			at := running(i, fmt.Sprint(w), drawTimes(rnd, w < 2))
			if at.Done == 0 || at.Done >= 100 {
				continue
			}
			if w < 2 && at.total()*time.Duration(at.Left)/100 > at.total()/5+400*time.Millisecond {
				lateOnSlow++
			}
			attempts = append(attempts, at)
		}
		for _, ch := range Decide(attempts, map[string]Job{"j": {Tasks: 1000}}).Choices {
			if ch.Attempt.Worker == "0" || ch.Attempt.Worker == "1" {
				onSlow++
			} else {
				onHealthy++
			}
		}
	}
	t.Logf("copies on slow workers %d of %d late tasks, on healthy ones %d", onSlow, lateOnSlow, onHealthy)
	qt.Check(t, onSlow*10 >= lateOnSlow*7, qt.IsTrue)
	qt.Check(t, onHealthy*5 <= onSlow, qt.IsTrue)
}
