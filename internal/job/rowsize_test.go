package job

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// interrupted returns a job whose tasks wait with checkpoints of the given sizes.
func interrupted(sizes ...int) *Job {
	jo := New("00000000000000aa", Terms{Queue: "q", MaxFailures: 3}, Spec{Steps: []Step{{Tasks: len(sizes), Checkpoints: true}}})
	for i, size := range sizes {
		ref := TaskRef{Index: i}
		jo.End(ref, jo.Start(ref, worker.Incarnation{ID: "i-1"}), EndStopped, strings.Repeat("c", size))
	}
	return jo
}

func TestRowAtLimitIsWhole(t *testing.T) {
	whole, om, err := interrupted(10, 500, 20).EncodeRow(1, 1<<20)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, om, qt.Equals, Omitted{})
	_, om, err = interrupted(10, 500, 20).EncodeRow(1, len(whole))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, om, qt.Equals, Omitted{})
	_, om, err = interrupted(10, 500, 20).EncodeRow(1, len(whole)-1)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, om, qt.Equals, Omitted{Checkpoints: 1})
}

func TestRowOmitsLargestCheckpoints(t *testing.T) {
	jo := interrupted(10, 500, 20)
	data, _, err := jo.EncodeRow(1, 300)
	qt.Assert(t, err, qt.IsNil)
	spec := fmt.Sprintf(`{"terms":{"queue":"q"},"spec":{"steps":[{"tasks":%d}]}}`, len(jo.Tasks[0]))
	next, err := Restore(jo.ID, []byte(spec), data)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(next.Tasks[0][0].Checkpoint), qt.Equals, 10)
	qt.Check(t, next.Tasks[0][1].Checkpoint, qt.Equals, "")
	qt.Check(t, len(next.Tasks[0][2].Checkpoint), qt.Equals, 20)
	qt.Check(t, len(jo.Tasks[0][1].Checkpoint), qt.Equals, 500)
}

func TestRowWithoutSpaceForWorkersIsAnError(t *testing.T) {
	jo := interrupted(1, 1)
	jo.Start(TaskRef{}, worker.Incarnation{ID: strings.Repeat("i", 200)})
	_, _, err := jo.EncodeRow(1, 200)
	qt.Assert(t, err, qt.ErrorIs, ErrTooLarge)
}

// TestRandomRowsFit guards against rows over the limit, and against rows that lack what keeps a
// task from running twice.
func TestRandomRowsFit(t *testing.T) {
	proptest.Check(t, proptest.Size{}, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 60).Draw(rt, "checkpoints")
		limit := rapid.IntRange(900, 20_000).Draw(rt, "limit")
		jo := interrupted(sizes...)
		for i := range sizes {
			if rapid.Bool().Draw(rt, "runs") {
				jo.Start(TaskRef{Index: i}, worker.Incarnation{ID: fmt.Sprint("i-", i%4)})
			}
		}
		data, _, err := jo.EncodeRow(1, limit)
		if err != nil {
			rt.Fatal(err)
		}
		if len(data) > limit {
			rt.Fatalf("%d bytes of %d", len(data), limit)
		}
		spec := fmt.Sprintf(`{"terms":{"queue":"q"},"spec":{"steps":[{"tasks":%d}]}}`, len(sizes))
		next, err := Restore(jo.ID, []byte(spec), data)
		if err != nil {
			rt.Fatal(err)
		}
		assertSameRuns(rt, jo.Tasks[0], next.Tasks[0])
	})
}

// assertSameRuns checks that restored tasks run where they did, and have the checkpoint that they
// had or none.
func assertSameRuns(rt *rapid.T, want, restored []Task) {
	rt.Helper()
	for i, ta := range want {
		got := restored[i]
		if got.State != ta.State || got.Attempt != ta.Attempt || ta.State == Started && got.Worker != ta.Worker {
			rt.Fatalf("task %d is %+v, want %+v", i, got, ta)
		}
		if got.Checkpoint != "" && got.Checkpoint != ta.Checkpoint {
			rt.Fatalf("task %d has checkpoint %q", i, got.Checkpoint)
		}
	}
}
