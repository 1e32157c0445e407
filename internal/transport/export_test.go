package transport

import "net/http"

// NewClientOver returns a client whose connections are opened in an in-memory network.
func NewClientOver(nw *Network, idle int) *http.Client { return newClient(idle, nil, nw.Dial) }
