package job

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSubmittedSpecIsASpec guards against fields that get lost between hosts.
func TestSubmittedSpecIsASpec(t *testing.T) {
	sp := Spec{Payload: "p", Steps: []Step{{Tasks: 1, Image: "a"}, {Tasks: 2, After: []int{0}, Copies: true}}, Schedule: Schedule{Times: 3}}
	plain, err := json.Marshal(sp)
	qt.Assert(t, err, qt.IsNil)
	data, err := json.Marshal(SubmittedSpec{Spec: sp})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(data), qt.Equals, string(plain))
	var got SubmittedSpec
	qt.Assert(t, json.Unmarshal(data, &got), qt.IsNil)
	qt.Check(t, got.Spec, qt.DeepEquals, sp)
}

// TestSubmittedListsAreCounted guards against short lists that take much memory.
func TestSubmittedListsAreCounted(t *testing.T) {
	for _, data := range []string{
		`{"steps":[` + strings.Repeat(`{},`, MaxSteps) + `{}]}`,
		`{"steps":[{"after":[` + strings.Repeat(`0,`, MaxSteps) + `0]}]}`,
	} {
		var got SubmittedSpec
		qt.Check(t, json.Unmarshal([]byte(data), &got), qt.ErrorMatches, ".*too many elements.*")
	}
}
