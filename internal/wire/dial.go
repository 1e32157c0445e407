package wire

import (
	"errors"
	"net"
)

// NotConnected reports whether err says that no connection could be opened, so
// that nothing of the request was sent. A request that went out on an older
// connection never ends so: it is not sent twice.
func NotConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// ConnectionRefused reports whether err says that nothing listens at the address,
// rather than that the way there is cut.
func ConnectionRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !op.Timeout()
}
