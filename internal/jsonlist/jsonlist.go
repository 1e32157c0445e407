// Package jsonlist decodes JSON arrays of bounded length. Package encoding/json decodes a whole
// array before its elements can be counted, and an element of two bytes may take hundreds of bytes
// in memory.
package jsonlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrTooLong is returned for an array with too many elements.
var ErrTooLong = errors.New("too many elements")

// Decode decodes an array of at most most elements. The data must be valid JSON, as methods
// UnmarshalJSON receive it; the value null yields nil.
func Decode[T any](data []byte, most int) ([]T, error) {
	if n := elements(data); n > most {
		return nil, fmt.Errorf("decode array of %d: %w, want at most %d", n, ErrTooLong, most)
	}
	var list []T
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("decode array: %w", err)
	}
	return list, nil
}

// elements returns the number of elements of an array; of an object it counts the fields.
func elements(data []byte) int {
	n, depth, inString := 1, 0, false
	for i := 0; i < len(data); i++ {
		switch ch := data[i]; {
		case inString && ch == '\\':
			i++
		case ch == '"':
			inString = !inString
		case inString:
		case ch == '[' || ch == '{':
			depth++
		case ch == ']' || ch == '}':
			depth--
		case ch == ',' && depth == 1:
			n++
		}
	}
	if len(bytes.TrimSpace(data)) <= len("[]") {
		return 0
	}
	return n
}
