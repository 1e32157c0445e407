package jobhost

import (
	"context"
	"errors"
	"strings"

	"github.com/pepperhatch/pepperhatch/internal/evacuation"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/relay"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/watch"
	"github.com/pepperhatch/pepperhatch/internal/worker"
	"github.com/pepperhatch/pepperhatch/platform"
)

// member returns this host's entry in the list of entry hosts.
func (ho *Host) member() registry.Member {
	se := ho.settings.Load()
	return registry.Member{Name: se.Name, Process: ho.keeper.Process, Addr: se.PeerAddr(), DataCentre: se.DataCentre, Cores: se.EffectiveCores()}
}

// serveCell runs the owner of the cell and its relays during a tenure. It returns the
// owner's handover data; see [sched.Owner.Handover].
func (ho *Host) serveCell(ctx context.Context, te tenure.Tenure) (map[string]int64, error) {
	se := ho.settings.Load()
	po := &relay.Pool{
		Self: se.Name, Cores: se.EffectiveCores(), Epoch: te.Epoch, HTTP: ho.relayClient, Direct: evacuation.Guard(platform.NewAgent(ho.workerClient), ho.evacuations.Contains),
		FormerOwner: te.Former.Owner, FormerOwnerProcess: te.Former.Process, Metrics: ho.metrics, Log: ho.log,
	}
	workers := &watch.Watch{Table: ho.table, TableName: platform.WorkerTable, Prefix: platform.WorkerPrefix, Log: ho.log}
	ow := sched.New(&sched.Owner{
		Cell: cellName, Tenure: te, Table: ho.table, Agent: po.Agent(), Without: ho.Without, Metrics: ho.metrics, Log: ho.log,
		ViaFunc:     func(we sched.WorkerEntry) string { return po.RelayFor(we.Incarnation.String(), we.DataCentre) },
		DroppedFunc: func(in worker.Incarnation) { po.Drop(in.String()) },
		ListFunc:    workers.Contact, EvacuatedFunc: ho.readEvacuations,
		Limits: sched.Limits{MaxLease: millis(se.MaxLeaseMS), StopTime: millis(se.StopMS), HarmAfter: millis(se.HarmMS), PaceTime: millis(se.PaceMS), KeepEnded: seconds(se.KeepEndedS)},
	})
	workers.OnRows = func(rows []store.FeedRow, complete bool) { ho.onWorkers(ow, po, rows, complete) }
	po.ChangedFunc = ow.Reroute
	wctx, end := context.WithCancel(ctx)
	defer end()
	go po.Run(wctx)
	loaded := func() {
		ho.storeOwner(ow)
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

// watchCell passes the list of entry hosts to the relay pool and the tenure, and the intake
// rows that other hosts wrote to the owner, until ctx ends.
func (ho *Host) watchCell(ctx context.Context, ow *sched.Owner, po *relay.Pool, setHosts membersFunc) {
	hosts := watch.Watch{Table: ho.table, TableName: registry.Table, Prefix: registry.Prefix, Log: ho.log,
		OnRows: func(rows []store.FeedRow, complete bool) { ho.onMembers(rows, complete, po.SetMembers, setHosts) }}
	go hosts.Run(ctx)
	intake := watch.Watch{Table: ho.table, TableName: sched.IntakeTable, Prefix: sched.IntakePrefix(cellName), Log: ho.log,
		OnRows: func(rows []store.FeedRow, _ bool) { ow.Import(rows) }}
	go intake.Run(ctx)
}

// membersFunc handles changes of the list of entry hosts: entries that were added or
// changed, and names that were removed. If complete is set, listed is the complete list.
type membersFunc func(listed []registry.Member, removed []string, complete bool)

// onMembers decodes rows of the list of entry hosts and passes them to the handlers.
func (ho *Host) onMembers(rows []store.FeedRow, complete bool, handlers ...membersFunc) {
	var listed []registry.Member
	var removed []string
	for _, row := range rows {
		if row.Deleted {
			removed = append(removed, strings.TrimPrefix(row.Key, registry.Prefix))
			ho.members.forget(row.Key)
			continue
		}
		me, err := registry.Decode(row.Row)
		if err != nil {
			ho.invalidRows.Report("entry hosts", row.Key, row.Version, err, "its last entry is used")
			if known, ok := ho.members.last(row.Key); ok {
				listed = append(listed, known)
			}
			continue
		}
		ho.members.record(row.Key, me)
		listed = append(listed, me)
	}
	for _, handle := range handlers {
		handle(listed, removed, complete)
	}
}

// onWorkers decodes rows of the list of workers and passes them to the owner and its relays.
func (ho *Host) onWorkers(ow *sched.Owner, po *relay.Pool, rows []store.FeedRow, complete bool) {
	var listed []sched.WorkerEntry
	var names, removed []string
	for _, row := range rows {
		if row.Deleted {
			removed = append(removed, platform.WorkerID(row.Key))
			continue
		}
		we, err := platform.DecodeWorker(row.Row)
		if err != nil {
			// A worker whose row can't be decoded is still listed: it has not left.
			ho.invalidRows.Report("workers", row.Key, row.Version, err, "its last entry is used")
			listed = append(listed, sched.WorkerEntry{Addr: worker.Addr{Incarnation: worker.Incarnation{ID: platform.WorkerID(row.Key)}}, Undecodable: true})
			continue
		}
		listed = append(listed, we)
		names = append(names, we.Incarnation.String())
	}
	// Removed entries are not passed to the relays. The owner polls workers without an
	// entry for as long as they run tasks, and drops them itself. An outage of the store
	// after which all entries have lapsed must not make the owner stop using its relays.
	po.SetWorkers(names, nil, false)
	ow.SetWorkers(listed, removed, complete)
}
