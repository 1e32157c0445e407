package job

import (
	"encoding/json"

	"github.com/pepperhatch/pepperhatch/internal/jsonlist"
)

// SubmittedSpec is a spec that arrives in a request. Its lists are counted while they are decoded,
// so that what it takes in memory is bounded by the length of the request. It is encoded like a
// [Spec].
type SubmittedSpec struct{ Spec }

// UnmarshalJSON implements json.Unmarshaler.
func (ss *SubmittedSpec) UnmarshalJSON(data []byte) error {
	type plain Spec
	body := struct {
		*plain

		Steps submittedSteps `json:"steps"`
	}{plain: (*plain)(&ss.Spec)}
	err := json.Unmarshal(data, &body)
	ss.Steps = body.Steps
	return err
}

// submittedSteps are at most MaxSteps steps.
type submittedSteps []Step

// UnmarshalJSON implements json.Unmarshaler.
func (list *submittedSteps) UnmarshalJSON(data []byte) error {
	steps, err := jsonlist.Decode[submittedStep](data, MaxSteps)
	for _, st := range steps {
		*list = append(*list, Step(st))
	}
	return err
}

// submittedStep is a step that arrives in a request.
type submittedStep Step

// UnmarshalJSON implements json.Unmarshaler.
func (st *submittedStep) UnmarshalJSON(data []byte) error {
	type plain submittedStep
	body := struct {
		*plain

		After StepIndices `json:"after"`
	}{plain: (*plain)(st)}
	err := json.Unmarshal(data, &body)
	st.After = body.After
	return err
}

// StepIndices are at most MaxSteps indices of steps.
type StepIndices []int

// UnmarshalJSON implements json.Unmarshaler.
func (si *StepIndices) UnmarshalJSON(data []byte) error {
	list, err := jsonlist.Decode[int](data, MaxSteps)
	*si = list
	return err
}
