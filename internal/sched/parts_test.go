package sched

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestIntakeIsApart makes sure that what other hosts write is not in the part
// of the store in which the owner's writes take their turn.
func TestIntakeIsApart(t *testing.T) {
	part := func(key string) string { return strings.Split(key, "/")[1] }
	ow := New(&Owner{Cell: "c0"})
	own := part(ow.specKey(jobID(1)))
	qt.Check(t, part(ow.progressKey(jobID(1))), qt.Equals, own)
	qt.Check(t, part("cells/c0/owner"), qt.Equals, own)
	qt.Check(t, part(IntakeKey("c0", jobID(1))), qt.Not(qt.Equals), own)
	qt.Check(t, part(CancelKey("c0", jobID(1))), qt.Not(qt.Equals), own)
}
