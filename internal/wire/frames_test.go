package wire

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// decodeFrames decodes frames until an error, and returns their number and the error.
func decodeFrames(fr *FrameReader) (n int, err error) {
	dec := json.NewDecoder(fr)
	for {
		var text string
		if err := dec.Decode(&text); err != nil {
			return n, err
		}
		fr.Next()
		n++
	}
}

// frame returns a frame of n bytes.
func frame(n int) string { return `"` + strings.Repeat("x", n-2) + `"` }

func TestFramesAreBounded(t *testing.T) {
	const most = 1 << 20
	t.Run("many that fit", func(t *testing.T) {
		n, err := decodeFrames(&FrameReader{Reader: strings.NewReader(strings.Repeat(frame(most/4), 10)), MaxBytes: most})
		qt.Check(t, err, qt.Equals, io.EOF)
		qt.Check(t, n, qt.Equals, 10)
	})
	t.Run("one that is too large", func(t *testing.T) {
		n, err := decodeFrames(&FrameReader{Reader: strings.NewReader(frame(100) + frame(2*most)), MaxBytes: most})
		qt.Check(t, err, qt.ErrorIs, ErrFrameTooLarge)
		qt.Check(t, n, qt.Equals, 1)
	})
	t.Run("memory is reserved, and given back", func(t *testing.T) {
		held := int64(0)
		reserve := func(n int64) (func(), bool) {
			if held+n > heldPerFrameByte*most/4 {
				return nil, false
			}
			held += n
			return func() { held -= n }, true
		}
		fr := &FrameReader{Reader: strings.NewReader(frame(freeFrameBytes/2) + frame(most/5) + frame(most/2)), MaxBytes: most, ReserveFunc: reserve}
		n, err := decodeFrames(fr)
		qt.Check(t, err, qt.ErrorIs, ErrNoMemory)
		qt.Check(t, n, qt.Equals, 2)
		fr.Close()
		qt.Check(t, held, qt.Equals, int64(0))
	})
}

func TestReadAll(t *testing.T) {
	for _, tc := range []struct {
		name             string
		sent             int
		announced, limit int64
		err              string
	}{
		{"empty", 0, 0, 10, ""},
		{"announced", 100_000, 100_000, 200_000, ""},
		{"of unknown length", 100_000, -1, 200_000, ""},
		{"at the limit", 100_000, -1, 100_000, ""},
		{"over the limit", 100_001, -1, 100_000, ".*too large"},
		{"announced over the limit", 0, 100_001, 100_000, "body of 100001 bytes.*too large"},
		{"short", 99, 100, 1000, "body of 99 bytes instead of 100.*"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			data, err := ReadAll(strings.NewReader(strings.Repeat("x", tc.sent)), tc.announced, tc.limit)
			if tc.err != "" {
				qt.Assert(t, err, qt.ErrorMatches, tc.err)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, data, qt.HasLen, tc.sent)
			qt.Check(t, cap(data) <= 3*max(tc.sent, firstRead), qt.IsTrue)
		})
	}
}
