package tenure

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLeasesBounded checks after which rows leases are marked as bounded: never while an
// owner of an earlier version may have extended one.
func TestLeasesBounded(t *testing.T) {
	for _, tc := range []struct {
		name string
		row  OwnerRow
		want bool
	}{
		{"no owner ever", OwnerRow{}, true},
		{"an owner with bounded leases", OwnerRow{Owner: "a", Epoch: 3, Bounded: true}, true},
		{"an owner of an earlier version", OwnerRow{Owner: "a", Epoch: 3}, false},
		{"released by one of an earlier version", OwnerRow{Epoch: 3}, false},
		{"the same, when all before had ceased", OwnerRow{Epoch: 3, FormerCeased: true}, true},
		{"released by one with bounded leases", OwnerRow{Epoch: 3, Bounded: true}, true},
	} {
		qt.Check(t, tc.row.boundsSuccessors(), qt.Equals, tc.want, qt.Commentf("%s", tc.name))
	}
}
