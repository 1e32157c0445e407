package standin

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// newTestFleet returns a fleet with leases of 10 s, and its only worker, which has two cores and
// runs tasks of one core each until they are stopped.
func newTestFleet() (*Fleet, *FleetWorker) {
	core := worker.Resources{MilliCores: 1000}
	fl := &Fleet{
		MaxLease:      10 * time.Second,
		RunFunc:       func(worker.Attempt) (time.Duration, string) { return -1, "" },
		ResourcesFunc: func(worker.Attempt) worker.Resources { return core },
	}
	fw := &FleetWorker{Addr: worker.Addr{HostPort: "10.0.0.1:80", Incarnation: worker.Incarnation{ID: "i-1"}}, Capacity: core.Add(core)}
	fl.Add(fw)
	return fl, fw
}

// launchOf returns an order to start an attempt with a lease until a time of the worker's clock.
func launchOf(task string, number int, until int64) worker.Launch {
	return worker.Launch{Attempt: worker.Attempt{Task: task, Number: number}, Fence: 2, LeaseUntilMS: until}
}

// runsFor returns for how long the first run of the fleet lasts.
func runsFor(fl *Fleet) time.Duration {
	time.Sleep(time.Minute)
	ru := fl.Runs()[0]
	return ru.Until.Sub(ru.From).Round(100 * time.Millisecond)
}

// TestLeasesOfStartsThatStartNothing guards against tests of leases that are shorter than those of
// workers, which take the lease of a start also if they run the attempt already or refuse it as old
// or for lack of capacity, but not as fenced.
func TestLeasesOfStartsThatStartNothing(t *testing.T) {
	for _, tc := range []struct {
		name    string
		launch  worker.Launch
		wantErr error
		want    time.Duration
	}{
		{"runs already", launchOf("a", 2, 9000), nil, 8 * time.Second},
		{"old", launchOf("a", 1, 9000), worker.ErrStaleAttempt, 8 * time.Second},
		{"no capacity", launchOf("c", 1, 9000), worker.ErrNoCapacity, 8 * time.Second},
		{"fenced", worker.Launch{Attempt: worker.Attempt{Task: "a", Number: 2}, Fence: 1, LeaseUntilMS: 9000}, worker.ErrFenced, 4 * time.Second},
		{"shorter", launchOf("a", 2, 3000), nil, 4 * time.Second},
		{"longer than the longest", launchOf("a", 2, 3_600_000), nil, 11 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl, fw := newTestFleet()
				for _, la := range []worker.Launch{launchOf("a", 2, 5000), launchOf("b", 1, 5000)} {
					_, err := fl.Agent().LaunchFunc(context.Background(), fw.Addr, la)
					qt.Assert(t, err, qt.IsNil)
				}
				time.Sleep(time.Second)
				_, err := fl.Agent().LaunchFunc(context.Background(), fw.Addr, tc.launch)
				qt.Check(t, err, qt.Equals, tc.wantErr)
				qt.Check(t, runsFor(fl), qt.Equals, tc.want)
			})
		})
	}
}

// TestClockOfTheNextProcess guards against tests that know restarts only with a clock which goes
// back to a second: that of the next process shows any time, and is as slow as before.
func TestClockOfTheNextProcess(t *testing.T) {
	for _, tc := range []struct {
		name        string
		start       time.Duration
		wantClockMS int64
		// want is how long an attempt runs whose start, for the former process, extends leases
		// to 69 s of its clock; 0 if it does not start.
		want time.Duration
	}{
		{"not set", 0, 1980, 10200 * time.Millisecond},
		{"behind", 5 * time.Second, 5980, 10200 * time.Millisecond},
		{"a little ahead", 62 * time.Second, 62_980, 6100 * time.Millisecond},
		{"ahead", time.Hour, 3_600_980, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl, fw := newTestFleet()
				fw.ClockRate = 0.98
				fl.ClockStartFunc = func() time.Duration { return tc.start }
				time.Sleep(time.Minute)
				fl.Restart(fw, fw.Addr.HostPort, 0)
				time.Sleep(time.Second)
				ack, err := fl.Agent().LaunchFunc(context.Background(), fw.Addr, launchOf("a", 1, 69_000))
				qt.Check(t, ack.ClockMS, qt.Equals, tc.wantClockMS)
				ie := (*worker.IncarnationError)(nil)
				qt.Check(t, errors.As(err, &ie), qt.IsTrue)
				if tc.want == 0 {
					qt.Check(t, fl.Runs(), qt.HasLen, 0)
					return
				}
				qt.Check(t, runsFor(fl), qt.Equals, tc.want)
			})
		})
	}
}

// TestPollIsCarriedOutLate guards against tests in which only orders to start are late: a poll with
// no answer takes effect later, at the process that then runs, unless a newer one has fenced it off.
func TestPollIsCarriedOutLate(t *testing.T) {
	for _, tc := range []struct {
		name     string
		restarts bool
		// fence is that of a poll that comes before the late one.
		fence int64
		want  time.Duration
	}{
		{"same process", false, 2, 12 * time.Second},
		{"next process", true, 2, 12 * time.Second},
		{"after a higher fencing token", true, 3, 6 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl, fw := newTestFleet()
				fl.SetPollDelay(fw, 3*time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := fl.Agent().PollFunc(ctx, fw.Addr, worker.Poll{Fence: 2, LeaseUntilMS: 60_000})
				qt.Assert(t, err, qt.Equals, context.DeadlineExceeded)
				if tc.restarts {
					fw = fl.Restart(fw, fw.Addr.HostPort, 0)
				}
				fl.SetPollDelay(fw, 0)
				_, err = fl.Agent().LaunchFunc(context.Background(), fw.Addr, worker.Launch{Attempt: worker.Attempt{Task: "a", Number: 1}, Fence: 2, LeaseUntilMS: 7000})
				qt.Assert(t, err, qt.IsNil)
				_, err = fl.Agent().PollFunc(context.Background(), fw.Addr, worker.Poll{Fence: tc.fence})
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, runsFor(fl), qt.Equals, tc.want)
			})
		})
	}
}
