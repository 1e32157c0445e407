package wire

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// firstRead is the size of the first buffer for a body, in bytes: most bodies fit.
const firstRead = 4 << 10

// ReadAll reads a body of at most limit bytes, of which announced is the length, or -1 if that is
// not known. It never holds more than three times what it has read; a body that is announced as
// longer is not read at all. The error of a body over the limit is a [http.MaxBytesError].
func ReadAll(rd io.Reader, announced, limit int64) ([]byte, error) {
	if announced > limit {
		return nil, fmt.Errorf("body of %d bytes: %w", announced, &http.MaxBytesError{Limit: limit})
	}
	size := int64(firstRead)
	if announced >= 0 {
		size = min(announced+1, firstRead)
	}
	data := make([]byte, 0, size)
	for {
		n, err := rd.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF) && int64(len(data)) < announced:
			return nil, fmt.Errorf("body of %d bytes instead of %d: %w", len(data), announced, io.ErrUnexpectedEOF)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		case int64(len(data)) > limit:
			return nil, fmt.Errorf("read body: %w", &http.MaxBytesError{Limit: limit})
		}
		if len(data) == cap(data) {
			data = grow(data, announced, limit)
		}
	}
}

// grow returns data with twice the capacity. One byte more than the length that is known or allowed
// shows that the body ends there.
func grow(data []byte, announced, limit int64) []byte {
	most := limit + 1
	if announced >= 0 {
		most = announced + 1
	}
	size := max(min(int64(2*cap(data)), most), int64(len(data)+1))
	larger := make([]byte, len(data), size)
	copy(larger, data)
	return larger
}
