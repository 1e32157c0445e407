package job

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestRowStatesOutstandingOrders guards against orders that the next owner does not await, or awaits although they
// were acknowledged.
func TestRowStatesOutstandingOrders(t *testing.T) {
	jo := New(testID, Terms{MaxFailures: 3}, chain(1, 5))
	on := worker.Incarnation{ID: "i-1", StartedMS: 9}
	for i := range 4 {
		jo.Start(TaskRef{Index: i}, on)
	}
	qt.Assert(t, jo.MarkAcknowledged(TaskRef{Index: 1}, 1), qt.IsTrue)
	qt.Assert(t, jo.MarkAcknowledged(TaskRef{Index: 1}, 1), qt.IsFalse)
	qt.Assert(t, jo.MarkAcknowledged(TaskRef{Index: 1}, 2), qt.IsFalse)
	jo.MarkStarted(TaskRef{Index: 2}, 1)
	jo.MarkAcknowledged(TaskRef{Index: 3}, 1)
	jo.End(TaskRef{Index: 3}, 1, EndNeverRan, "")
	jo.Start(TaskRef{Index: 3}, on)
	jo.Orders = map[TaskRef]StatedOrder{{Index: 3}: {Worker: "i-1", HostPort: "10.0.0.1:80", RemainingMS: 9300}, {Index: 4}: {Worker: "i-2", RemainingMS: -40}}
	jo.HostPorts = map[worker.Incarnation]string{on: "10.0.0.1:80"}

	again := reread(t, jo)
	var acknowledged []bool
	for i := range 4 {
		acknowledged = append(acknowledged, again.Running(TaskRef{Index: i})[0].Acknowledged)
	}
	qt.Check(t, acknowledged, qt.DeepEquals, []bool{false, true, true, false})
	qt.Check(t, again.Orders, qt.DeepEquals, jo.Orders)
	qt.Check(t, again.HostPorts, qt.DeepEquals, jo.HostPorts)
}

// TestAddressesAreOmittedBeforeCheckpoints guards against tasks that lose their work to addresses in a full row.
func TestAddressesAreOmittedBeforeCheckpoints(t *testing.T) {
	jo := New(testID, Terms{}, chain(1, 1))
	on := worker.Incarnation{ID: "i-1"}
	jo.Task(TaskRef{}).Checkpoint = "checkpoint"
	jo.Start(TaskRef{}, on)
	short, _, err := jo.EncodeRow(1, 1000)
	qt.Assert(t, err, qt.IsNil)
	jo.HostPorts = map[worker.Incarnation]string{on: "10.0.0.1:80"}
	data, om, err := jo.EncodeRow(1, len(short))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, om, qt.Equals, Omitted{})
	qt.Check(t, len(data), qt.Equals, len(short))
}
