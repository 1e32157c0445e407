package sched

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
)

// burstTime bounds a burst while the store does not answer, so that no run takes as long as ended
// jobs are kept.
const burstTime = 3 * time.Second

// injectBurst submits more jobs than the workers can run at once, so that the owner refuses some
// of them, or submits the refused ones again, or injects a fault.
func (fr *faultRun) injectBurst() {
	start := time.Now()
	switch rapid.SampledFrom([]string{"burst", "refused again", "fault", "fault"}).Draw(fr.rt, "kind") {
	case "burst":
		for i := 0; i < 40 && time.Since(start) < burstTime; i++ {
			fr.jobs++
			fr.submitNumbered(fr.jobs)
		}
	case "refused again":
		for _, n := range slices.Sorted(maps.Keys(fr.refused)) {
			if time.Since(start) < burstTime {
				fr.submitNumbered(n)
			}
		}
	case "fault":
		fr.injectRandom()
	}
}

// TestRandomRefusals injects random faults into a cell that refuses jobs for lack of capacity, and
// checks what TestRandomFaults does: above all, that a refused job runs only if it was submitted
// again and accepted, and that no accepted job is lost.
func TestRandomRefusals(t *testing.T) {
	refused, again := 0, 0
	proptest.Check(t, proptest.Size{Checks: randomRuns / 2}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			fr := newFaultRun(t, rt)
			defer func() { fr.stopOwner() }()
			fr.ordinaryOnly = true
			fr.stretch = rapid.SampledFrom([]float64{0.3, 1}).Draw(rt, "stretch")
			time.Sleep(admissionGrace)
			ever := map[int]bool{}
			for range rapid.IntRange(5, 12).Draw(rt, "actions") {
				fr.injectBurst()
				time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 30, 300, 1500}).Draw(rt, "pause")) * time.Millisecond)
				maps.Copy(ever, fr.refused)
			}
			fr.clearFaultsAndCheck()
			refused += len(ever)
			for n := range ever {
				if fr.accepted[n] {
					again++
				}
			}
		})
	})
	if refused == 0 || again == 0 {
		t.Errorf("%d jobs were refused, %d of them accepted later", refused, again)
	}
}
