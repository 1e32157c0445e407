package sched

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestIntakeHasOwnPartition checks that intake rows are not in the partition of the store in
// which the owner's writes are carried out one after the other.
func TestIntakeHasOwnPartition(t *testing.T) {
	partition := func(key string) string { return strings.Split(key, "/")[1] }
	ow := New(&Owner{Cell: "c0"})
	own := partition(ow.specKey(jobID(1)))
	qt.Check(t, partition(ow.progressKey(jobID(1))), qt.Equals, own)
	qt.Check(t, partition("cells/c0/owner"), qt.Equals, own)
	qt.Check(t, partition(IntakeKey("c0", jobID(1))), qt.Not(qt.Equals), own)
	qt.Check(t, partition(CancelKey("c0", jobID(1))), qt.Not(qt.Equals), own)
}
