package answers

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRecord guards against a worker that counts as silent after it has answered, and against one
// that does not because events are recorded out of order.
func TestRecord(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1_000_000+int64(s), 0) }
	var re Record
	qt.Assert(t, re.Missing(), qt.IsFalse)
	re.Answer(at(1))
	qt.Check(t, re.GiveUp(at(0)), qt.IsFalse, qt.Commentf("answered since"))
	qt.Check(t, re.Missing(), qt.IsFalse)
	qt.Check(t, re.GiveUp(at(3)), qt.IsTrue)
	qt.Check(t, re.GiveUp(at(4)), qt.IsFalse, qt.Commentf("known already"))
	qt.Check(t, re.GiveUp(at(2)), qt.IsFalse)
	qt.Check(t, re.Missing(), qt.IsTrue)
	re.Answer(at(3))
	qt.Check(t, re.Missing(), qt.IsTrue, qt.Commentf("answered before the last order was sent"))
	re.Answer(at(5))
	re.Answer(at(2))
	qt.Check(t, re.Missing(), qt.IsFalse)
	qt.Check(t, re.AnsweredAt(), qt.Equals, at(5))
}
