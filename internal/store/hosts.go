package store

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// HostKind is what a host of the list runs.
type HostKind string

// The kinds of hosts.
const (
	KindRunner HostKind = "runner"
	KindWorker HostKind = "worker"
)

// HostState is the state of a host in the list.
type HostState string

// The states of hosts. A host that is not listed was removed.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's list.
type Host struct {
	// ID identifies the host.
	ID string `json:"id"`
	// Kind is what the host runs.
	Kind HostKind `json:"kind"`
	// Addr is the host's IP address and port.
	Addr string `json:"addr"`
	// DC is the host's data centre.
	DC string `json:"dc"`
	// Rack is the host's rack.
	Rack string `json:"rack"`
	// State is live or leaving.
	State HostState `json:"state"`
	// Service is the service that a runner serves.
	Service string `json:"service,omitempty"`
	// Slots is the number of requests that a runner runs at a time.
	Slots int `json:"slots,omitempty"`
	// MilliCores, MemMB and Accels are a worker's capacity.
	MilliCores int64 `json:"milli_cores,omitempty"`
	MemMB      int64 `json:"mem_mb,omitempty"`
	Accels     int64 `json:"accels,omitempty"`
}

// HostsRequest reads the host list.
type HostsRequest struct {
	// DC limits the list to one data centre; empty means all.
	DC string `json:"dc,omitempty"`
	// Kind limits it to one kind; empty means all.
	Kind HostKind `json:"kind,omitempty"`
}

// HostsReply is the host list, which may be some time old.
type HostsReply struct {
	// Hosts are in order of ID.
	Hosts []Host `json:"hosts"`
}

// Hosts is a client of the host list.
type Hosts struct {
	// ListFunc reads the host list.
	ListFunc func(context.Context, HostsRequest) (HostsReply, error)
}

// NewHosts returns a client of the host list at base.
func NewHosts(base string, cl *http.Client) Hosts {
	return Hosts{ListFunc: func(ctx context.Context, req HostsRequest) (HostsReply, error) {
		reply, err := wire.Post[HostsRequest, HostsReply](ctx, cl, base+"/hosts/list", req)
		if err != nil {
			return reply, fmt.Errorf("read host list: %w", err)
		}
		return reply, nil
	}}
}
