package wire

import (
	"errors"
	"net"
)

// NotConnected reports whether err means that no connection could be opened, so that nothing of
// the request was sent. A request sent on an existing connection never fails like this, so a
// retry cannot send it twice.
func NotConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// ConnectionRefused reports whether err means that nothing listens at the address, as
// opposed to a network path that is cut.
func ConnectionRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !op.Timeout()
}
