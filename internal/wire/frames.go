package wire

import (
	"errors"
	"io"
)

// Limits of frames.
const (
	// freeFrameBytes is the length, in bytes, of frames for which nothing is reserved.
	freeFrameBytes = 16 << 10
	// frameStep is by how much the reservation for a longer frame grows, as a factor.
	frameStep = 4
	// heldPerFrameByte is how many bytes a frame takes at most for each byte of it: the buffer while
	// it grows, and the decoded form.
	heldPerFrameByte = 4
)

// Errors of [FrameReader].
var (
	ErrFrameTooLarge = errors.New("frame is too large")
	ErrNoMemory      = errors.New("no memory for a frame")
)

// FrameReader bounds the frames that a decoder reads from a stream without end, and reserves memory
// for long ones. A reservation lasts until Close, as decoders keep their buffers.
type FrameReader struct {
	// Reader is the stream.
	Reader io.Reader
	// MaxBytes bounds a frame, in bytes.
	MaxBytes int64
	// ReserveFunc reserves bytes, and returns a function that gives them back. Nil means that nothing
	// is reserved.
	ReserveFunc func(n int64) (release func(), ok bool)

	// read is the number of bytes since the start of the frame; reserved is the length of frames for
	// which memory is reserved.
	read, reserved int64
	release        func()
}

// Read implements io.Reader.
func (fr *FrameReader) Read(data []byte) (int, error) {
	if fr.read >= fr.MaxBytes {
		return 0, ErrFrameTooLarge
	}
	if fr.read >= max(fr.reserved, freeFrameBytes) && !fr.grow() {
		return 0, ErrNoMemory
	}
	left := max(fr.reserved, freeFrameBytes) - fr.read
	n, err := fr.Reader.Read(data[:min(int64(len(data)), left)])
	fr.read += int64(n)
	return n, err
}

// grow reserves memory for a longer frame, in place of what was reserved.
func (fr *FrameReader) grow() bool {
	fr.Close()
	fr.reserved = frameStep * max(fr.reserved, freeFrameBytes)
	if fr.ReserveFunc == nil {
		return true
	}
	release, ok := fr.ReserveFunc(heldPerFrameByte * fr.reserved)
	if ok {
		fr.release = release
	}
	return ok
}

// Next records that a frame has been decoded.
func (fr *FrameReader) Next() { fr.read = 0 }

// Close gives the reserved memory back.
func (fr *FrameReader) Close() {
	if fr.release != nil {
		fr.release()
		fr.release = nil
	}
}
