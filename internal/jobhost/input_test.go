package jobhost

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestInvalidRequests checks that requests which can't be jobs get the right status, and
// that none of them creates a job.
func TestInvalidRequests(t *testing.T) {
	th := newTestHost(t, 1)
	th.configure()
	step := func(edit func(map[string]any)) map[string]any {
		body := jobBody(1)
		edit(body["steps"].([]any)[0].(map[string]any))
		return body
	}
	id := "/depot/0123456789abcdef"
	for _, tc := range []struct {
		name, path string
		body       any
		status     int
	}{
		{"no JSON object", id, []int{1}, http.StatusBadRequest},
		{"no steps", id, map[string]any{"spec": "x"}, http.StatusBadRequest},
		{"id of wrong form", "/depot/0123", jobBody(1), http.StatusBadRequest},
		{"id in capitals", "/depot/0123456789ABCDEF", jobBody(1), http.StatusBadRequest},
		{"negative size", id, step(func(st map[string]any) { st["cpu"] = -1 }), http.StatusBadRequest},
		{"excessive count", id, step(func(st map[string]any) { st["count"] = 1 << 40 }), http.StatusBadRequest},
		{"cycle", id, step(func(st map[string]any) { st["start-after"] = []int{0} }), http.StatusBadRequest},
		{"later step", id, step(func(st map[string]any) { st["start-after"] = []int{1} }), http.StatusBadRequest},
		{"payload too long", id, map[string]any{"spec": strings.Repeat("x", 4001), "steps": jobBody(1)["steps"]}, http.StatusBadRequest},
		{"body too large", id, map[string]any{"spec": strings.Repeat("x", 300_000)}, http.StatusRequestEntityTooLarge},
		{"gang", id, step(func(st map[string]any) { st["gang"] = true }), http.StatusUnprocessableEntity},
		{"recurring job", id, map[string]any{"steps": jobBody(1)["steps"], "times": 3}, http.StatusUnprocessableEntity},
		{"unknown queue", "/lost/0123456789abcdef", jobBody(1), http.StatusNotFound},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status, answer := th.do(http.MethodPost, tc.path, tc.body)
			qt.Assert(t, status, qt.Equals, tc.status, qt.Commentf("%s", answer))
		})
	}
	qt.Assert(t, th.state("0123456789abcdef"), qt.Equals, "410")
	qt.Assert(t, th.fleet.Runs(), qt.HasLen, 0)
}

func TestSettingsErrorsNameEachField(t *testing.T) {
	err := Settings{IP: "host", Ports: []int{5}, CallerAddr: "x:1"}.Check()
	qt.Assert(t, err, qt.IsNotNil)
	for _, name := range []string{"name", "data_centre", "ip", "ports", "caller_addr", "ready_addr", "store_addr", "max_lease_ms", "stop_ms", "grace_s", "keep_ended_s", "harm_ms"} {
		qt.Check(t, strings.Contains(err.Error(), "setting "+name+":"), qt.IsTrue, qt.Commentf(name))
	}
	_, err = ReadSettings(t.TempDir() + "/none.json")
	qt.Assert(t, err, qt.IsNotNil)
}
