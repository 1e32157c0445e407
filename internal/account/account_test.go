package account

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Log lines as an owner writes them; the first has a log collector's prefix.
const (
	endOfJob1          = `  3.1 host-1 time=2026-01-01T00:00:03Z level=INFO msg="job time" job=01 queue=tiles state=succeeded age_ms=1000 aim_ms=1200 order_ms=100 work_ms=900 paced_ms=0 room_ms=0 place_ms=0 stop_ms=0 store_ms=0 failed=1 moved=0` + "\n"
	waitOfJob2         = `time=2026-01-01T00:00:03Z level=INFO msg="job waits" job=02 queue=tiles state=queued age_ms=2000 aim_ms=1000 for=room wait=2s tasks=3 order_ms=0 work_ms=0 paced_ms=0 room_ms=2000 place_ms=0 stop_ms=0 store_ms=0 failed=0 moved=0` + "\n"
	endOfJob2          = `time=2026-01-01T00:00:09Z level=INFO msg="job time" job=02 queue=tiles state=succeeded age_ms=4000 aim_ms=1000 order_ms=0 work_ms=1000 paced_ms=0 room_ms=3000 place_ms=0 stop_ms=0 store_ms=0 failed=0 moved=2` + "\n"
	endOfCancelledJob3 = `time=2026-01-01T00:00:09Z level=INFO msg="job time" job=03 queue=tiles state=cancelled age_ms=4000 aim_ms=1000 order_ms=0 work_ms=4000 paced_ms=0 room_ms=0 place_ms=0 stop_ms=0 store_ms=0 failed=0 moved=0` + "\n"
	truncatedLine      = `time=2026-01-01T00:00:09Z level=INFO msg="job time" job=04 queue=tiles state=succe` + "\n"
	unrelatedLine      = `time=2026-01-01T00:00:09Z level=INFO msg="job accepted" job=05 queue=tiles` + "\n"
)

// aggregate reads a log.
func aggregate(t *testing.T, log string) *Aggregator {
	t.Helper()
	var ag Aggregator
	qt.Assert(t, ag.Read(strings.NewReader(log)), qt.IsNil)
	return &ag
}

func TestRows(t *testing.T) {
	t.Run("the final line of a job is used in any order", func(t *testing.T) {
		for _, log := range []string{waitOfJob2 + endOfJob2, endOfJob2 + waitOfJob2} {
			rows := aggregate(t, log).Rows()
			qt.Assert(t, rows, qt.HasLen, 1)
			qt.Assert(t, rows[0].Timeliness, qt.Equals, "too late")
			qt.Assert(t, rows[0].Open, qt.Equals, 0)
			qt.Assert(t, rows[0].Moved, qt.Equals, int64(2))
			qt.Assert(t, rows[0].Shares, qt.DeepEquals, []float64{0, 0.25, 0, 0.75, 0, 0, 0})
		}
	})
	t.Run("a job that has not ended is open", func(t *testing.T) {
		rows := aggregate(t, waitOfJob2).Rows()
		qt.Assert(t, rows, qt.HasLen, 1)
		qt.Assert(t, rows[0].Timeliness, qt.Equals, "late")
		qt.Assert(t, rows[0].Open, qt.Equals, 1)
	})
	t.Run("a prefix before the line is skipped", func(t *testing.T) {
		rows := aggregate(t, endOfJob1).Rows()
		qt.Assert(t, rows, qt.HasLen, 1)
		qt.Assert(t, rows[0].Timeliness, qt.Equals, "in time")
		qt.Assert(t, rows[0].MeanMS, qt.Equals, int64(1000))
		qt.Assert(t, rows[0].Failed, qt.Equals, int64(1))
	})
	t.Run("cancelled jobs and other lines are left out", func(t *testing.T) {
		ag := aggregate(t, endOfCancelledJob3+unrelatedLine)
		qt.Assert(t, ag.Rows(), qt.HasLen, 0)
		qt.Assert(t, ag.Lines, qt.Equals, 1)
	})
	t.Run("a truncated line is counted as malformed", func(t *testing.T) {
		ag := aggregate(t, truncatedLine+endOfJob1)
		qt.Assert(t, ag.Malformed, qt.Equals, 1)
		qt.Assert(t, ag.Lines, qt.Equals, 1)
	})
}

func TestPrint(t *testing.T) {
	var out strings.Builder
	qt.Assert(t, Print(&out, aggregate(t, endOfJob1).Rows()), qt.IsNil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	qt.Assert(t, lines, qt.HasLen, 2)
	qt.Assert(t, strings.Fields(lines[1]), qt.DeepEquals,
		[]string{"tiles", "in", "time", "1", "0", "1000", "1", "0", "0.100", "0.900", "0.000", "0.000", "0.000", "0.000", "0.000"})
}
