package transport

import "net/http"

// NewClientOver returns a client whose connections a test opens.
func NewClientOver(pi *Pipes, idle int) *http.Client { return newClient(idle, nil, pi.Dial) }
