package relay

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// TestOrdersOfFrameAreCounted guards against short frames that take hundreds of times their length
// in memory.
func TestOrdersOfFrameAreCounted(t *testing.T) {
	frame := func(orders int) []byte { return []byte(`{"o":[` + strings.Repeat(`{},`, orders-1) + `{}]}`) }
	var fr orderFrame
	qt.Check(t, json.Unmarshal(frame(maxOutboxItems), &fr), qt.IsNil)
	qt.Check(t, fr.Orders, qt.HasLen, maxOutboxItems)
	qt.Check(t, json.Unmarshal(frame(maxOutboxItems+1), &fr), qt.ErrorMatches, ".*too many elements.*")
}

// TestPayloadsOfStreamAreBounded guards against payloads of any length that a relay keeps.
func TestPayloadsOfStreamAreBounded(t *testing.T) {
	se := &ownerStream{payloads: map[int]string{}}
	text := strings.Repeat("x", 10*job.MaxPayload)
	for id := range maxPayloads {
		qt.Assert(t, se.loadPayload(&order{PayloadID: id + 1, PayloadText: text}), qt.IsTrue)
		held := 0
		for _, kept := range se.payloads {
			held += len(kept)
		}
		qt.Assert(t, held <= maxPayloadBytes, qt.IsTrue)
	}
}
