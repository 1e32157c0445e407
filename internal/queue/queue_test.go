package queue

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestMatch(t *testing.T) {
	co := New(1, 0, []Queue{
		{Name: "short", Host: "a", PathPrefix: "/d/"}, {Name: "long", Host: "a", PathPrefix: "/d/e/"}, {Name: "other", Host: "b", PathPrefix: "/"},
	})
	for _, tc := range []struct{ host, path, name, rest string }{
		{"a", "/d/x", "short", "x"}, {"a", "/d/e/x", "long", "x"}, {"a", "/d/e", "short", "e"}, {"b", "/d/x", "other", "d/x"},
		{"a", "/", "", ""}, {"c", "/d/x", "", ""},
	} {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			qu, rest, ok := co.Match(tc.host, tc.path)
			qt.Assert(t, ok, qt.Equals, tc.name != "")
			qt.Assert(t, qu.Name, qt.Equals, tc.name)
			qt.Assert(t, rest, qt.Equals, tc.rest)
		})
	}
}

func TestTermsAllowOneFailureAtLeast(t *testing.T) {
	qt.Assert(t, Queue{}.Terms().MaxFailures, qt.Equals, 1)
}
