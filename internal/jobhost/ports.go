package jobhost

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/jobapi"
	"github.com/pepperhatch/pepperhatch/internal/port"
	"github.com/pepperhatch/pepperhatch/internal/relay"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/platform"
)

// Limits of the ports; see also package port.
const (
	// maxHeader and idleTimeout are required by the users' platform.
	maxHeader     = 16 << 10
	idleTimeout   = 15 * time.Second
	headerTimeout = 3 * time.Second
	// bodyTimeout bounds the time to receive a request's body: the 3 s that callers wait
	// for an answer, plus a margin for a saturated network link.
	bodyTimeout = 5 * time.Second
	// replyTimeout bounds the time to send a part of an answer: a list of all jobs is
	// 2 MB, and a saturated link transfers 100 kB per second.
	replyTimeout = 30 * time.Second
	// auxTimeout bounds the time to send a part of an answer about this host.
	auxTimeout = 5 * time.Second
	// maxPeerBody bounds a request of another host or of the job API, in bytes. The largest is a
	// job, which has to fit into a row.
	maxPeerBody = 4 * store.MaxRowBytes
	// maxLists bounds the lists of all jobs that are made or sent at the same time.
	maxLists = 4
	// maxAuxBody bounds a request about this host, which needs no body, in bytes.
	maxAuxBody = 4 << 10
)

// limits returns the limits that all ports have in common.
func (ho *Host) limits(name string, conns int) port.Limits {
	return port.Limits{
		Name: name, Process: ho.process, MaxConns: conns, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeader: maxHeader,
		ReadTimeout: bodyTimeout, WriteTimeout: replyTimeout, HTTP1Only: true,
	}
}

func (ho *Host) callerLimits() port.Limits {
	lim := ho.limits("callers", ho.Machine.CallerConns())
	lim.MaxBodyFunc = func() int64 { return platform.MaxBody(ho.config.Load()) }
	lim.SmallWindow, lim.Refuse = true, platform.Refuse
	return lim
}

func (ho *Host) peerLimits() port.Limits {
	lim := ho.limits("peers", ho.Machine.PeerConns())
	lim.Peers, lim.MaxBody, lim.StreamPath = true, maxPeerBody, relay.Path
	return lim
}

// auxLimits returns the limits of a port for requests about this host.
func (ho *Host) auxLimits(name string) port.Limits {
	lim := ho.limits(name, port.AuxConns)
	lim.MaxBody, lim.WriteTimeout, lim.SmallWindow = maxAuxBody, auxTimeout, true
	return lim
}

// callerHandler returns the handler of callers' requests.
func (ho *Host) callerHandler() http.Handler {
	return port.Limited(platform.CallerHandler{FrontEnd: ho.frontEnd}, ho.callerLimits())
}

// peerHandler returns the handler of requests of other entry hosts, owners that use this
// host as a relay, and clients of the job API.
func (ho *Host) peerHandler() http.Handler {
	cell, jobs := ho.frontEnd.Handler(), jobapi.Handler(ho.frontEnd)
	mux := http.NewServeMux()
	mux.Handle("/cell/", cell)
	mux.Handle("/cell/list", port.AtMost(maxLists, cell))
	mux.Handle("/jobs/", jobs)
	mux.Handle("/jobs/list", port.AtMost(maxLists, jobs))
	mux.Handle(relay.Path, ho.relay)
	return port.Limited(mux, ho.peerLimits())
}

// serveMetrics answers with the metrics.
func (ho *Host) serveMetrics(w http.ResponseWriter, r *http.Request) {
	ho.process.SetGauges()
	ho.metricsHandler.ServeHTTP(w, r)
}

// listen opens the ports and serves them. The first one is that of callers; failed receives the error
// of a port that ends.
func (ho *Host) listen(se *Settings) (ports []*port.Port, failed <-chan error, err error) {
	ho.process = port.NewProcess(ho.Machine, ho.metrics, ho.log)
	ho.relay.ReserveFunc = ho.process.ReserveForPeer
	list := []struct {
		addr    string
		lim     port.Limits
		handler http.Handler
	}{
		{se.CallerAddr, ho.callerLimits(), ho.callerHandler()},
		{se.ReadyAddr, ho.auxLimits("readiness"), port.Limited(platform.Readiness(ho.ready), ho.auxLimits("readiness"))},
		{se.PeerAddr(), ho.peerLimits(), ho.peerHandler()},
		{net.JoinHostPort(se.IP, fmt.Sprint(metricsPort)), ho.auxLimits("metrics"), port.Limited(http.HandlerFunc(ho.serveMetrics), ho.auxLimits("metrics"))},
	}
	errs := make(chan error, len(list))
	for _, en := range list {
		po, err := port.Listen(en.addr, en.lim)
		if err != nil {
			return nil, nil, err
		}
		ports = append(ports, po)
		go func() { errs <- po.ServeLimited(en.handler) }()
	}
	return ports, errs, nil
}
