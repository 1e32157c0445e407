package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/claim"
	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/lease"
	"github.com/pepperhatch/pepperhatch/internal/peer"
	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/route"
	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Paths of the messages on the peer port.
const (
	pathHello    = "/peer/hello"
	pathRun      = "/peer/run"
	pathConfig   = "/peer/config"
	pathPromise  = "/peer/lease/promise"
	pathDenial   = "/peer/lease/denial"
	pathTake     = "/peer/claim/take"
	pathRelease  = "/peer/claim/release"
	pathHandover = "/peer/claim/handover"
	pathCell     = "/peer/cell/"
)

// memberMessage is a request to one member. Another process at the same address
// must not answer for it.
type memberMessage[T any] struct {
	// To is the id of the member.
	To string `json:"to"`
	// Message is the request.
	Message T `json:"message"`
}

// claimMessage is a message on a request id to the owner of its shard. Resource is
// the shard; Forwarded is set once a host of the owner's data centre has forwarded
// the message.
type claimMessage[T any] struct {
	Resource  string `json:"resource"`
	Forwarded bool   `json:"passed,omitempty"`
	Message   T      `json:"message"`
}

// runMessage is a request forwarded to a peer. It has the remaining time, in
// milliseconds, instead of the deadline, as clocks differ.
type runMessage struct {
	ID          string       `json:"id"`
	Service     string       `json:"service"`
	Method      string       `json:"method"`
	Class       runner.Class `json:"class"`
	Body        []byte       `json:"body"`
	RemainingMS int64        `json:"left_ms"`
	Once        bool         `json:"once,omitempty"`
}

type empty struct{}

func (ho *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+pathHello, wire.Handle(func(_ context.Context, he peer.Hello) (peer.Reply, error) {
		return ho.mesh.Receive(he), nil
	}))
	mux.Handle("POST "+pathRun, wire.Handle(ho.serveRun))
	mux.Handle("POST "+pathConfig, wire.Handle(ho.serveConfig))
	mux.Handle("POST "+pathPromise, wire.Handle(func(_ context.Context, msg memberMessage[lease.PromiseRequest]) (lease.Answer, error) {
		return answerAsMember(ho, msg, (*lease.Keeper).AnswerPromise), nil
	}))
	mux.Handle("POST "+pathDenial, wire.Handle(func(_ context.Context, msg memberMessage[lease.DenialRequest]) (lease.Answer, error) {
		return answerAsMember(ho, msg, (*lease.Keeper).AnswerDenial), nil
	}))
	mux.Handle("POST "+pathTake, wire.Handle(ho.serveTake))
	mux.Handle("POST "+pathRelease, wire.Handle(ho.serveRelease))
	mux.Handle("POST "+pathHandover, wire.Handle(func(_ context.Context, hn claim.Handover) (empty, error) {
		ho.ledger.Import(hn)
		return empty{}, nil
	}))
	ho.handleCell(mux)
	return mux
}

// answerAsMember answers a request if this host is the member that it is for.
// Otherwise the answer is empty.
func answerAsMember[T any](ho *Host, msg memberMessage[T], fn func(*lease.Keeper, T) lease.Answer) lease.Answer {
	ke := ho.keeper.Load()
	if ke == nil || ke.ID != msg.To {
		return lease.Answer{}
	}
	return fn(ke, msg.Message)
}

func (ho *Host) askPromise(ctx context.Context, id, addr string, req lease.PromiseRequest) (lease.Answer, error) {
	msg := memberMessage[lease.PromiseRequest]{To: id, Message: req}
	return wire.Post[memberMessage[lease.PromiseRequest], lease.Answer](ctx, ho.httpClient, "http://"+addr+pathPromise, msg)
}

func (ho *Host) askDenial(ctx context.Context, id, addr string, req lease.DenialRequest) (lease.Answer, error) {
	msg := memberMessage[lease.DenialRequest]{To: id, Message: req}
	return wire.Post[memberMessage[lease.DenialRequest], lease.Answer](ctx, ho.httpClient, "http://"+addr+pathDenial, msg)
}

// hello returns the state of this host as sent to peers.
func (ho *Host) hello() peer.Hello {
	he := peer.Hello{
		ID: ho.id, DC: ho.set.DC, Addr: ho.PeerAddr(), CallerAddr: ho.CallerAddr(),
		ConfigVersion: -1, Stopping: ho.stopping.Load(), Loads: ho.router.Loads(),
	}
	if doc, ok := ho.config.Current(); ok {
		he.ConfigVersion = doc.Version
	}
	if ke := ho.keeper.Load(); ke != nil && ke.Valid() {
		for _, re := range ke.Assignment().OwnedBy(ke.ID) {
			if lease.IsCell(re) {
				he.Cells = append(he.Cells, ho.set.DC)
				continue
			}
			he.Shards++
		}
	}
	return he
}

func (ho *Host) serveConfig(context.Context, empty) (config.Doc, error) {
	doc, ok := ho.config.Current()
	if !ok {
		return doc, &wire.Error{Status: http.StatusServiceUnavailable, Code: string(reason.NotReady), Message: "no configuration yet"}
	}
	return doc, nil
}

// fetchConfig fetches the configuration from a peer that has a newer one. Errors
// are ignored, as the table is polled too.
func (ho *Host) fetchConfig(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	doc, err := wire.Post[empty, config.Doc](ctx, ho.httpClient, "http://"+addr+pathConfig, empty{})
	if err == nil {
		ho.config.Adopt(doc)
	}
}

// forward has a peer run a request. The outcome is unknown if the connection fails
// after it was opened.
func (ho *Host) forward(ctx context.Context, addr string, req route.Request) route.Result {
	msg := runMessage{
		ID: req.ID, Service: req.Service, Method: req.Method, Class: req.Class, Body: req.Body,
		RemainingMS: time.Until(req.Deadline).Milliseconds(), Once: req.Once,
	}
	res, err := wire.Post[runMessage, route.Result](ctx, ho.forwardClient, "http://"+addr+pathRun, msg)
	if err == nil {
		return res
	}
	var op *net.OpError
	var werr *wire.Error
	if errors.As(err, &werr) || (errors.As(err, &op) && op.Op == "dial") {
		// The peer refused the message or could not be reached, so that the request
		// was not run.
		return route.NotRunResult(reason.AllRefused, 0)
	}
	return route.Result{Outcome: route.Unknown, Reason: reason.PeerLost, Attempts: 1}
}

// serveRun runs a request that a peer has forwarded.
func (ho *Host) serveRun(ctx context.Context, msg runMessage) (route.Result, error) {
	req := route.Request{Local: true, Once: msg.Once, Request: runner.Request{
		ID: msg.ID, Service: msg.Service, Method: msg.Method, Class: msg.Class, Body: msg.Body,
		Deadline: time.Now().Add(time.Duration(msg.RemainingMS) * time.Millisecond),
	}}
	return ho.router.Do(ctx, req), nil
}

// errOwnerUnknown is returned while this host knows no owner of a resource.
var errOwnerUnknown = errors.New("owner unknown")

// takeClaim requests a claim from the owner of an id's shard, in any data centre.
func (ho *Host) takeClaim(ctx context.Context, dc, resource string, req claim.TakeRequest) (claim.Decision, error) {
	msg := claimMessage[claim.TakeRequest]{Resource: resource, Message: req}
	if dc == ho.set.DC {
		return ho.serveTake(ctx, msg)
	}
	addr, err := ho.anyHostIn(dc)
	if err != nil {
		return claim.Decision{}, err
	}
	return wire.Post[claimMessage[claim.TakeRequest], claim.Decision](ctx, ho.httpClient, "http://"+addr+pathTake, msg)
}

// serveTake answers a claim request if this host owns the shard. Otherwise it
// forwards the request, once only.
func (ho *Host) serveTake(ctx context.Context, msg claimMessage[claim.TakeRequest]) (claim.Decision, error) {
	addr, own, err := ho.ownerOf(msg.Resource)
	switch {
	case own:
		return ho.ledger.Take(msg.Message), nil
	case err != nil:
		return claim.Decision{}, err
	case msg.Forwarded:
		return claim.Decision{Reason: reason.ClaimOwnerUnavailable}, nil
	}
	msg.Forwarded = true
	return wire.Post[claimMessage[claim.TakeRequest], claim.Decision](ctx, ho.httpClient, "http://"+addr+pathTake, msg)
}

// releaseTimeout limits the sending of a release. If a release is lost, the id stays
// claimed, which is safe.
const releaseTimeout = 2 * time.Second

// releaseClaim releases a claim in the background.
func (ho *Host) releaseClaim(dc, resource string, req claim.ReleaseRequest) {
	msg := claimMessage[claim.ReleaseRequest]{Resource: resource, Message: req}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if dc == ho.set.DC {
			_, _ = ho.serveRelease(ctx, msg)
			return
		}
		if addr, err := ho.anyHostIn(dc); err == nil {
			_, _ = wire.Post[claimMessage[claim.ReleaseRequest], empty](ctx, ho.httpClient, "http://"+addr+pathRelease, msg)
		}
	}()
}

func (ho *Host) serveRelease(ctx context.Context, msg claimMessage[claim.ReleaseRequest]) (empty, error) {
	addr, own, err := ho.ownerOf(msg.Resource)
	switch {
	case own:
		ho.ledger.Release(msg.Message)
		return empty{}, nil
	case err != nil || msg.Forwarded:
		return empty{}, err
	}
	msg.Forwarded = true
	return wire.Post[claimMessage[claim.ReleaseRequest], empty](ctx, ho.httpClient, "http://"+addr+pathRelease, msg)
}

// handOver sends the claims of a shard to its next owner. Cells need no handover, as
// their state is in the journal.
func (ho *Host) handOver(ctx context.Context, tr lease.Transfer) {
	if lease.IsCell(tr.Resource) || tr.Addr == "" {
		return
	}
	hn := ho.ledger.Export(tr.Resource, tr.Since, tr.Epoch)
	if _, err := wire.Post[claim.Handover, empty](ctx, ho.httpClient, "http://"+tr.Addr+pathHandover, hn); err != nil {
		ho.log.Warn("cannot hand over claims", "resource", tr.Resource, "peer", tr.To, "err", err)
	}
}

// ownerOf returns the address of the owner of a resource in this data centre; own is
// set, and addr empty, if it is this host. It returns errOwnerUnknown if there is
// none.
func (ho *Host) ownerOf(resource string) (addr string, own bool, err error) {
	ke := ho.keeper.Load()
	if ke == nil {
		return "", false, fmt.Errorf("resource %s: %w", resource, errOwnerUnknown)
	}
	id, addr := ke.Owner(resource)
	switch {
	case id == ke.ID:
		return "", true, nil
	case addr == "":
		return "", false, fmt.Errorf("resource %s: %w", resource, errOwnerUnknown)
	}
	return addr, false, nil
}

// anyHostIn returns the peer address of a live host in a data centre, or
// errOwnerUnknown.
func (ho *Host) anyHostIn(dc string) (string, error) {
	for _, he := range ho.mesh.Live() {
		if he.DC == dc && !he.Stopping {
			return he.Addr, nil
		}
	}
	return "", fmt.Errorf("no live host in data centre %s: %w", dc, errOwnerUnknown)
}
