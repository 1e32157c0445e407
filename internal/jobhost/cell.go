package jobhost

import (
	"context"
	"errors"
	"strings"

	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/relay"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/watch"
	"github.com/pepperhatch/pepperhatch/internal/worker"
	"github.com/pepperhatch/pepperhatch/platform"
)

// member is this host as the list of entry hosts has it.
func (ho *Host) member() registry.Member {
	se := ho.se.Load()
	return registry.Member{Name: se.Name, Process: ho.keeper.Process, Addr: se.PeerAddr(), DataCentre: se.DataCentre, Cores: se.EffectiveCores()}
}

// serveCell runs the cell during a tenure.
func (ho *Host) serveCell(ctx context.Context, te tenure.Tenure) (map[string]int64, error) {
	se := ho.se.Load()
	po := &relay.Pool{
		Self: se.Name, Cores: se.EffectiveCores(), Epoch: te.Epoch, HTTP: ho.streams, Direct: platform.NewAgent(ho.workers),
		Former: te.Former.Owner, FormerProcess: te.Former.Process, Metrics: ho.metrics, Log: ho.log,
	}
	workers := &watch.Watch{Table: ho.table, Name: platform.WorkerTable, Under: platform.WorkerPrefix, Log: ho.log}
	ow := sched.New(&sched.Owner{
		Cell: cellName, Tenure: te, Table: ho.table, Agent: po.Agent(), Without: ho.Without, Metrics: ho.metrics, Log: ho.log,
		ViaFunc:     func(li sched.WorkerEntry) string { return po.Via(li.Incarnation.String(), li.DataCentre) },
		DroppedFunc: func(in worker.Incarnation) { po.Drop(in.String()) },
		ListFunc:    workers.Contact,
		Limits:      sched.Limits{MaxLease: millis(se.MaxLeaseMS), StopTime: millis(se.StopMS), HarmAfter: millis(se.HarmMS), KeepEnded: seconds(se.KeepEndedS)},
	})
	workers.OnRows = func(rows []store.FeedRow, whole bool) { ho.onWorkers(ow, po, rows, whole) }
	po.ChangedFunc = ow.Reroute
	wctx, end := context.WithCancel(ctx)
	defer end()
	go po.Run(wctx)
	loaded := func() {
		ho.owner.Store(ow)
		ho.watchCell(wctx, ow, po, te.SetHosts)
		go workers.Run(wctx)
	}
	defer ho.owner.Store(nil)
	err := ow.Run(ctx, loaded)
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return ow.Handover(), err
}

// watchCell hands the owner's relays and its tenure the list of entry hosts, and the owner
// what other hosts took in.
func (ho *Host) watchCell(ctx context.Context, ow *sched.Owner, po *relay.Pool, setHosts membersFunc) {
	hosts := watch.Watch{Table: ho.table, Name: registry.Table, Under: registry.Prefix, Log: ho.log,
		OnRows: func(rows []store.FeedRow, whole bool) { ho.onMembers(rows, whole, po.SetMembers, setHosts) }}
	go hosts.Run(ctx)
	intake := watch.Watch{Table: ho.table, Name: sched.IntakeTable, Under: sched.IntakePrefix(cellName), Log: ho.log,
		OnRows: func(rows []store.FeedRow, _ bool) { ow.Import(rows) }}
	go intake.Run(ctx)
}

// membersFunc takes in rows of the list of entry hosts.
type membersFunc func(listed []registry.Member, gone []string, whole bool)

func (ho *Host) onMembers(rows []store.FeedRow, whole bool, takers ...membersFunc) {
	var listed []registry.Member
	var gone []string
	for _, row := range rows {
		if row.Gone {
			gone = append(gone, strings.TrimPrefix(row.Key, registry.Prefix))
			continue
		}
		me, err := registry.Decode(row.Row)
		if err != nil {
			ho.log.Error("entry host's row cannot be read", "err", err)
			continue
		}
		listed = append(listed, me)
	}
	for _, take := range takers {
		take(listed, gone, whole)
	}
}

func (ho *Host) onWorkers(ow *sched.Owner, po *relay.Pool, rows []store.FeedRow, whole bool) {
	var listed []sched.WorkerEntry
	var names, gone []string
	for _, row := range rows {
		if row.Gone {
			gone = append(gone, platform.WorkerID(row.Key))
			continue
		}
		li, err := platform.DecodeWorker(row.Row)
		if err != nil {
			// Its row is there all the same: it has not left.
			ho.log.Error("worker's row cannot be read", "err", err)
			listed = append(listed, sched.WorkerEntry{Addr: worker.Addr{Incarnation: worker.Incarnation{ID: platform.WorkerID(row.Key)}}, Undecodable: true})
			continue
		}
		listed = append(listed, li)
		names = append(names, li.Incarnation.String())
	}
	// The owner reaches workers without an entry for as long as they run something, and
	// drops them itself: an outage of the store that takes all entries must not have it
	// give up its relays.
	po.SetWorkers(names, nil, false)
	ow.SetWorkers(listed, gone, whole)
}
