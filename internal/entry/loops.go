package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/cell"
	"github.com/pepperhatch/pepperhatch/internal/claim"
	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/lease"
	"github.com/pepperhatch/pepperhatch/internal/peer"
	"github.com/pepperhatch/pepperhatch/internal/route"
	"github.com/pepperhatch/pepperhatch/internal/spread"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/upstream"
)

// Intervals of the loops, and the timeout of a poll.
const (
	listInterval      = time.Second
	configInterval    = time.Second
	peersInterval     = 100 * time.Millisecond
	joinRetryInterval = 500 * time.Millisecond
	pollTimeout       = 2 * time.Second
)

// repeat calls fn at once, and again d after each return, until ctx ends.
func repeat(ctx context.Context, d time.Duration, fn func(context.Context)) {
	for {
		fn(ctx)
		if !clock.Sleep(ctx, d) {
			return
		}
	}
}

// pollLists polls the platform's list of the data centre's hosts.
func (ho *Host) pollLists(ctx context.Context) {
	filter := &store.ListFilter{}
	repeat(ctx, listInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		reply, err := ho.hosts.ListFunc(ctx, store.HostsRequest{DC: ho.set.DC})
		if err != nil {
			ho.metrics.Add(telemetry.TableErrors, 1, "step", "list-hosts")
			return
		}
		hosts := filter.Accept(reply.Hosts)
		if len(hosts) > len(reply.Hosts) {
			ho.log.Warn("platform list lacks most hosts at once, keeping the missing ones", "listed", len(reply.Hosts), "kept", len(hosts))
			ho.metrics.Add(telemetry.TableErrors, 1, "step", "doubtful-list")
		}
		workers := slices.DeleteFunc(slices.Clone(hosts), func(pl store.Host) bool {
			return pl.Kind != store.KindWorker
		})
		ho.workerList.Store(&workers)
		ho.registry.SetList(hosts)
		ho.listLoaded.Store(true)
	})
}

// pollConfig polls the configuration in the table.
func (ho *Host) pollConfig(ctx context.Context) {
	repeat(ctx, configInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		if err := ho.config.Poll(ctx); err != nil {
			ho.metrics.Add(telemetry.TableErrors, 1, "step", "read-config")
			return
		}
		ho.tableAnswered.Store(time.Now().UnixNano())
	})
}

// onHello handles a peer's hello: if the peer has a newer configuration, this host
// fetches it.
func (ho *Host) onHello(he peer.Hello) {
	doc, ok := ho.config.Current()
	if he.ConfigVersion < 0 || (ok && he.ConfigVersion <= doc.Version) {
		return
	}
	go ho.fetchConfig(he.Addr)
}

// applyConfig applies a version of the configuration on this host.
func (ho *Host) applyConfig(doc config.Doc) {
	ho.router.SetPolicy(route.Policy{QueueLimit: doc.Int(config.QueueLimit), BatchEvery: doc.Int(config.BatchEvery)})
	ho.router.Budget.SetRatio(doc.Float(config.RetryRatio))
	ho.registry.SetQuarantineLimit(doc.Float(config.MaxQuarantined))
	ho.log.Info("configuration in force", "version", doc.Version)
}

// rebuild passes to the router the runners for which this host is the primary.
func (ho *Host) rebuild() {
	byService := map[string][]upstream.Runner{}
	for _, ru := range ho.registry.Runners() {
		byService[ru.Service] = append(byService[ru.Service], ru)
	}
	hosts := ho.primaries()
	members := make(map[string][]route.Member, len(byService))
	for service, runners := range byService {
		members[service] = ho.primaryMembers(runners, hosts)
	}
	ho.router.SetMembers(members)
}

// primaries returns the ids of the data centre's entry hosts among which runners
// are divided. A stopping host is not one of them, unless it is the only host.
func (ho *Host) primaries() []string {
	var hosts []string
	for _, he := range ho.mesh.Live() {
		if he.DC == ho.set.DC && !he.Stopping {
			hosts = append(hosts, he.ID)
		}
	}
	if !ho.stopping.Load() || len(hosts) == 0 {
		hosts = append(hosts, ho.id)
	}
	return hosts
}

// primaryMembers returns the usable runners for which this host is the primary.
func (ho *Host) primaryMembers(runners []upstream.Runner, hosts []string) []route.Member {
	var ids []string
	for _, ru := range runners {
		if ru.State != upstream.Leaving {
			ids = append(ids, ru.ID)
		}
	}
	primary := spread.AssignEvenly(ids, hosts)
	var members []route.Member
	for _, ru := range runners {
		usable := ru.State == upstream.Live || ru.State == upstream.Probing
		if usable && primary[ru.ID] == ho.id {
			members = append(members, route.Member{
				ID: ru.ID, Addr: ru.Addr, Slots: ru.Slots, Slow: ru.Slow, Probing: ru.State == upstream.Probing,
			})
		}
	}
	return members
}

// updatePeers passes the runners, and the loads of live peers that are not
// stopping, to the router.
func (ho *Host) updatePeers(ctx context.Context) {
	repeat(ctx, peersInterval, func(context.Context) {
		sameDC, otherDCs := map[string]map[string]route.Load{}, map[string]map[string]route.Load{}
		for _, he := range ho.mesh.Live() {
			switch {
			case he.Stopping:
			case he.DC == ho.set.DC:
				sameDC[he.Addr] = he.Loads
			default:
				otherDCs[he.Addr] = he.Loads
			}
		}
		ho.rebuild()
		ho.router.SetPeers(sameDC, otherDCs)
	})
}

// maintainMembership keeps this host a member while it runs. After a takeover
// the host joins under a new id, as it may no longer act for the former member.
func (ho *Host) maintainMembership(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		ke := ho.newKeeper(n)
		// Retries use the same member id, as an attempt without a reply may
		// have succeeded.
		for err := ke.Join(ctx); err != nil; err = ke.Join(ctx) {
			ho.log.Warn("cannot join as a member", "err", err)
			if !clock.Sleep(ctx, joinRetryInterval) {
				return
			}
		}
		ho.keeper.Store(ke)
		err := ke.Run(ctx)
		if errors.Is(err, lease.ErrTakenOver) && ho.stopping.Load() {
			return
		}
		ho.log.Warn("membership ended", "err", err)
	}
}

func (ho *Host) newKeeper(n int) *lease.Keeper {
	timing := lease.DefaultTiming
	timing.TTL, timing.Promise, timing.Interval = ho.set.LeaseTTL, ho.set.LeaseTTL, ho.set.LeaseEvery
	timing.Margin = ho.set.LeaseTTL / 12
	return &lease.Keeper{
		ID: memberID(ho.id, n), Addr: ho.PeerAddr(), DC: ho.set.DC,
		Resources: append(claim.Resources(), lease.CellResource(ho.set.DC)),
		Table:     ho.table, Timing: timing,
		Peers:          lease.Peers{PromiseFunc: ho.askPromise, DenialFunc: ho.askDenial},
		OnEvent:        ho.leaseEvent,
		BeforeTransfer: ho.handOver,
	}
}

// members returns the members of this host's data centre, or errNotMember.
func (ho *Host) members(ctx context.Context) ([]lease.Member, error) {
	ke := ho.keeper.Load()
	if ke == nil {
		return nil, errNotMember
	}
	return ke.Members(ctx)
}

// declareDead removes a member of this host's data centre, unless it has renewed
// its membership since beat.
func (ho *Host) declareDead(ctx context.Context, id string, beat int64) error {
	ke := ho.keeper.Load()
	if ke == nil {
		return errNotMember
	}
	return ke.DeclareDead(ctx, id, beat)
}

// errNotMember is returned before this host has joined.
var errNotMember = errors.New("this host has not joined as a member yet")

// memberID returns the id of the n-th membership of a process, from 1.
func memberID(id string, n int) string {
	if n == 1 {
		return id
	}
	return fmt.Sprintf("%s.%d", id, n)
}

// leaseEvent counts and logs an event of the lease keeper.
func (ho *Host) leaseEvent(ev lease.Event) {
	switch ev.Kind {
	case "took-over":
		ho.metrics.Add(telemetry.Takeovers, 1)
	case "extended":
		ho.metrics.Add(telemetry.LeaseExtensions, 1)
	}
	ho.log.Info("lease", "event", ev.Kind, "peer", ev.Peer)
}

// runCell runs the data centre's cell whenever this host owns it.
func (ho *Host) runCell(ctx context.Context) {
	repeat(ctx, cellPollInterval, func(ctx context.Context) {
		ke := ho.keeper.Load()
		resource := lease.CellResource(ho.set.DC)
		if ke == nil || !ke.Owns(resource) || ho.stopping.Load() {
			return
		}
		ow := ho.newOwner(ke, resource)
		ho.owner.Store(ow)
		err := ow.Run(ctx)
		ho.owner.Store(nil)
		if ctx.Err() == nil {
			ho.log.Warn("no longer running the cell", "cell", ho.set.DC, "err", err)
		}
	})
}

// cellPollInterval is the time between checks whether this host owns the cell.
const cellPollInterval = 200 * time.Millisecond

func (ho *Host) newOwner(ke *lease.Keeper, resource string) *cell.Owner {
	timing := cell.DefaultTiming
	timing.BatchInterval = ho.set.CellInterval
	return &cell.Owner{
		Cell: ho.set.DC, Self: ke.ID, Epoch: ke.Since(resource).Epoch,
		Owns:    func() bool { return ke.Owns(resource) && !ho.stopping.Load() },
		Journal: &cell.Journal{Table: ho.table, Objects: ho.objects, Cell: ho.set.DC},
		Workers: ho.workers, Timing: timing, Metrics: ho.metrics, Log: ho.log,
		Hosts: func() ([]store.Host, bool) {
			list := ho.workerList.Load()
			if list == nil {
				return nil, false
			}
			return *list, true
		},
		Config: func() config.Doc { doc, _ := ho.config.Current(); return doc },
	}
}
