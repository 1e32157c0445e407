package sched

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

func TestStuckTasksAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 2)
		me, handler, err := telemetry.New()
		qt.Assert(t, err, qt.IsNil)
		la.metrics = me
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		assertGauge := func(kind string, why obstacle, n int) {
			t.Helper()
			re := httptest.NewRecorder()
			handler.ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			qt.Check(t, re.Body.String(), qt.Contains, fmt.Sprintf("%s{kind=%q,why=%q} %d\n", telemetry.StuckTasks, kind, why, n))
		}
		la.submit(ow, 1, longRunning(40))
		time.Sleep(4 * time.Second)
		assertGauge("lasting", obstacleCapacity, 0)
		qt.Check(t, ll.matching(`msg="tasks are stuck"`), qt.HasLen, 0)
		time.Sleep(3 * time.Second)
		waiting := 40 - len(la.fleet.Runs())
		qt.Assert(t, waiting > 0, qt.IsTrue)
		assertGauge("lasting", obstacleCapacity, waiting)
		qt.Check(t, len(ll.matching(`msg="tasks are stuck"`, fmt.Sprintf("lasting=room:%d", waiting), "reserved_share=", "longest=")) > 0, qt.IsTrue)
		end()
		time.Sleep(time.Second)
		assertGauge("lasting", obstacleCapacity, 0)
	})
}

func TestObstacleOfAttempts(t *testing.T) {
	long := time.Now().Add(-time.Minute)
	for _, tc := range []struct {
		wk     *workerState
		halted time.Time
		want   obstacle
	}{
		{&workerState{settled: true}, time.Time{}, ""},
		{&workerState{settled: true}, long, obstacleStopping},
		{&workerState{settled: true, failingSince: long}, long, obstacleUnresponsive},
		{&workerState{firstSeen: long}, time.Time{}, obstacleUnresponsive},
	} {
		at := &attempt{wk: tc.wk, haltSentAt: tc.halted}
		ob, since := at.obstacle()
		qt.Check(t, ob, qt.Equals, tc.want)
		qt.Check(t, ob == "" || since.Equal(long), qt.IsTrue)
	}
}
