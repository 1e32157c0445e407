package outstanding

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

var (
	began  = time.UnixMilli(1_000_000)
	first  = Addressee{Worker: "i-0", HostPort: "10.0.0.0:80"}
	second = Addressee{Worker: "i-1", HostPort: "10.0.0.1:80"}
)

func all(int) bool { return true }

// allowed returns which of two workers and none the task may start on.
func allowed(os *Orders) [3]bool {
	return [3]bool{os.Allows(first.Worker), os.Allows(second.Worker), os.Allows("")}
}

func TestAllowedWorkers(t *testing.T) {
	anywhere, onlyFirst, nowhere := [3]bool{true, true, true}, [3]bool{true, false, false}, [3]bool{}
	process := worker.Incarnation{ID: first.Worker, StartedMS: 5}
	for _, tc := range []struct {
		name string
		do   func(os *Orders)
		want [3]bool
	}{
		{"none", func(*Orders) {}, anywhere},
		{"sent", func(os *Orders) { os.Sent(1, first, began) }, onlyFirst},
		{"sent twice", func(os *Orders) { os.Sent(1, first, began); os.Sent(2, first, began) }, onlyFirst},
		{"settled", func(os *Orders) { os.Sent(1, first, began); os.Settle(1) }, anywhere},
		{"one of two settled", func(os *Orders) { os.Sent(1, first, began); os.Sent(2, first, began); os.Settle(2) }, onlyFirst},
		{"to two workers", func(os *Orders) { os.Sent(1, first, began); os.Sent(2, second, began) }, nowhere},
		{"stated and sent", func(os *Orders) { os.Stated(first, began); os.Sent(2, first, began); os.Settle(2) }, onlyFirst},
		{"runs", func(os *Orders) { os.Runs(1, process, began) }, nowhere},
		{"ran until its process ended", func(os *Orders) { os.Runs(1, process, began); os.ProcessEnded(process) }, anywhere},
		{"order outlives the process", func(os *Orders) { os.Sent(1, first, began); os.ProcessEnded(process) }, onlyFirst},
		{"absent too early", func(os *Orders) { os.Sent(1, first, began); os.Absent(process, began.Add(MaxDelay), all) }, onlyFirst},
		{"absent", func(os *Orders) { os.Sent(1, first, began); os.Absent(process, began.Add(MaxDelay+1), all) }, anywhere},
		{"absent at another worker", func(os *Orders) {
			os.Sent(1, first, began)
			os.Absent(worker.Incarnation{ID: second.Worker}, began.Add(time.Hour), all)
		}, onlyFirst},
		{"run absent", func(os *Orders) { os.Runs(1, process, began); os.Absent(process, began, all) }, anywhere},
		{"run listed", func(os *Orders) {
			os.Runs(1, process, began)
			os.Absent(process, began.Add(time.Hour), func(n int) bool { return n != 1 })
		}, nowhere},
		{"refused", func(os *Orders) { os.Sent(1, first, began); os.Refused(first) }, anywhere},
		{"refused at another address", func(os *Orders) {
			os.Sent(1, first, began)
			os.Refused(Addressee{Worker: first.Worker, HostPort: second.HostPort})
		}, onlyFirst},
		{"expired", func(os *Orders) { os.Sent(1, first, began); os.Expire(began.Add(MaxDelay + 1)) }, anywhere},
		{"not expired", func(os *Orders) { os.Sent(1, first, began); os.Expire(began.Add(MaxDelay)) }, onlyFirst},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var os Orders
			tc.do(&os)
			qt.Assert(t, allowed(&os), qt.Equals, tc.want)
		})
	}
}

// TestBoundsOfFormerOwners checks that what becomes known of former owners lowers only the bounds of
// their orders, and never raises them.
func TestBoundsOfFormerOwners(t *testing.T) {
	var os Orders
	os.Inherited(1, first, began.Add(5*time.Second))
	os.CeasedBy(began.Add(2 * time.Second))
	os.CeasedBy(began.Add(9 * time.Second))
	_, until := os.Latest(0)
	qt.Check(t, until, qt.Equals, began.Add(2*time.Second+MaxDelay))
	os.Sent(2, first, began.Add(4*time.Second))
	os.CeasedBy(began)
	_, until = os.Latest(0)
	qt.Check(t, until, qt.Equals, began.Add(4*time.Second+MaxDelay))
	_, until = os.Latest(2)
	qt.Check(t, until, qt.Equals, began.Add(MaxDelay))
}

// TestNoOrderIsForgotten plays random events and checks that the task may start on another worker
// only if each order was settled, or can neither be carried out any more nor have started what runs.
func TestNoOrderIsForgotten(t *testing.T) {
	const lease = 10 * time.Second
	proptest.Check(t, proptest.Size{Checks: 2000}, func(rt *rapid.T) {
		var os Orders
		now := began
		sent, settled := map[int]time.Time{}, map[int]bool{}
		for number := 1; number <= 12; number++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "pause ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				os.Sent(number, first, now)
				sent[number] = now
			case 1:
				n := rapid.IntRange(1, number).Draw(rt, "settled")
				os.Settle(n)
				settled[n] = true
			case 2:
				os.Absent(worker.Incarnation{ID: first.Worker}, now, all)
				for n, at := range sent {
					settled[n] = settled[n] || now.After(at.Add(MaxDelay))
				}
			case 3:
				os.Expire(now.Add(-lease))
			}
			for n, at := range sent {
				if mayRun := !settled[n] && !now.After(at.Add(MaxDelay+lease)); mayRun && os.Allows(second.Worker) {
					rt.Fatalf("order %d may still start an attempt", n)
				}
			}
		}
	})
}
