package jsonlist

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDecode(t *testing.T) {
	for _, tc := range []struct {
		name, data string
		want       []int
		err        string
	}{
		{"null", ` null `, nil, ""},
		{"empty", `[]`, []int{}, ""},
		{"empty, with blanks", `[    ]`, []int{}, ""},
		{"longest", `[1, 2,3]`, []int{1, 2, 3}, ""},
		{"too long", `[1,2,3,4]`, nil, "decode array of 4: too many elements, want at most 3"},
		{"too long, of null", `[null,null,null,null]`, nil, ".*too many elements.*"},
		{"too long, after a string", `["a\\","\"[",1,2]`, nil, ".*too many elements.*"},
		{"commas that separate no elements", `[[1,2],{"a":1,"b":2},",,,"]`, nil, ".*cannot unmarshal array.*"},
		{"object", `{"a":1}`, nil, ".*cannot unmarshal object.*"},
		{"number", `7`, nil, ".*cannot unmarshal number.*"},
		{"wrong element", `[1,"x"]`, nil, ".*cannot unmarshal string.*"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := Decode[int]([]byte(tc.data), 3)
			if tc.err != "" {
				qt.Assert(t, err, qt.ErrorMatches, tc.err)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, tc.want)
		})
	}
}
