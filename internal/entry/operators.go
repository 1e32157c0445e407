package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1/pepperhatchv1connect"
	"github.com/pepperhatch/pepperhatch/internal/cell"
	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/intent"
	"github.com/pepperhatch/pepperhatch/internal/peer"
	"github.com/pepperhatch/pepperhatch/internal/spread"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

func (ho *Host) adminHandler() http.Handler {
	mux := http.NewServeMux()
	path, h := pepperhatchv1connect.NewOperatorServiceHandler(&operatorService{ho: ho}, connect.WithReadMaxBytes(maxAdminBody))
	mux.Handle(path, h)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		ho.process.SetGauges()
		ho.metricsHandler.ServeHTTP(w, r)
	})
	ho.handleHealth(mux)
	return mux
}

// operatorService implements the service for operators.
type operatorService struct{ ho *Host }

// operatorTimeout limits a call of an operator.
const operatorTimeout = 10 * time.Second

// operatorCodes pairs errors with connect codes. Other errors are reported as
// unavailable.
var operatorCodes = []struct {
	err  error
	code connect.Code
}{
	{cell.ErrImpossible, connect.CodeInvalidArgument},
	{intent.ErrInvalidIntent, connect.CodeInvalidArgument},
	{intent.ErrPlanNotFound, connect.CodeNotFound},
	{config.ErrConflict, connect.CodeAborted},
	{cell.ErrOutcomeUnknown, connect.CodeUnknown},
}

func operatorError(err error) error {
	for _, oc := range operatorCodes {
		if errors.Is(err, oc.err) {
			return connect.NewError(oc.code, err)
		}
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// Plan returns what an intent would change.
func (os *operatorService) Plan(ctx context.Context, creq *connect.Request[pb.PlanRequest]) (*connect.Response[pb.PlanResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	pl, err := os.ho.planner.Plan(ctx, creq.Msg.GetIntent())
	if err != nil {
		return nil, operatorError(err)
	}
	resp := &pb.PlanResponse{Id: pl.ID, Cell: pl.Cell, Basis: pl.Basis()}
	for _, sp := range pl.Steps {
		resp.Steps = append(resp.Steps, &pb.Step{Verb: sp.Verb, Object: sp.Object, Detail: sp.Detail})
	}
	return connect.NewResponse(resp), nil
}

// Confirm carries out a plan if its basis has not changed.
func (os *operatorService) Confirm(ctx context.Context, creq *connect.Request[pb.ConfirmRequest]) (*connect.Response[pb.ConfirmResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	res, err := os.ho.planner.Confirm(ctx, creq.Msg.GetId())
	if err != nil {
		return nil, operatorError(err)
	}
	if res.Applied {
		// Sends a hello to peers at once, so that they fetch a changed
		// configuration.
		os.ho.mesh.SendAll()
	}
	return connect.NewResponse(&pb.ConfirmResponse{Applied: res.Applied, Conflict: res.Changed, Version: res.Version}), nil
}

// tableAnswerMaxAge is the age of the table's last answer above which the platform
// counts as unavailable.
const tableAnswerMaxAge = 5 * time.Second

// Status returns the state as known to this host.
func (os *operatorService) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	ho := os.ho
	resp := &pb.StatusResponse{
		AnsweredBy: ho.id,
		PlatformOk: time.Since(time.Unix(0, ho.tableAnswered.Load())) < tableAnswerMaxAge,
	}
	resp.Entries = ho.entryStatus()
	for _, en := range resp.GetEntries() {
		resp.ConfigVersion = max(resp.GetConfigVersion(), en.GetConfigVersion())
	}
	for _, en := range resp.GetEntries() {
		if en.GetReachable() && en.GetConfigVersion() == resp.GetConfigVersion() {
			resp.InForce++
		}
	}
	resp.Runners = ho.runnerStatus()
	for _, name := range ho.set.DCs {
		resp.Cells = append(resp.Cells, ho.cellStatus(ctx, name))
	}
	return connect.NewResponse(resp), nil
}

func (ho *Host) entryStatus() []*pb.EntryStatus {
	live := append(ho.mesh.Live(), ho.hello())
	entries := make([]*pb.EntryStatus, 0, len(live))
	for _, he := range live {
		entries = append(entries, entryStatusOf(he))
	}
	slices.SortFunc(entries, func(a, b *pb.EntryStatus) int {
		return strings.Compare(a.GetDataCentre()+a.GetId(), b.GetDataCentre()+b.GetId())
	})
	return entries
}

func entryStatusOf(he peer.Hello) *pb.EntryStatus {
	return &pb.EntryStatus{
		Id: he.ID, DataCentre: he.DC, Reachable: true, ConfigVersion: he.ConfigVersion,
		Shards: uint32(he.Shards), Cells: he.Cells, Stopping: he.Stopping,
	}
}

func (ho *Host) runnerStatus() []*pb.RunnerStatus {
	runners := ho.registry.Runners()
	ids := make([]string, 0, len(runners))
	for _, ru := range runners {
		ids = append(ids, ru.ID)
	}
	primary := spread.AssignEvenly(ids, ho.primaries())
	statuses := make([]*pb.RunnerStatus, 0, len(runners))
	for _, ru := range runners {
		rs := &pb.RunnerStatus{
			Id: ru.ID, DataCentre: ru.DC, Service: ru.Service, State: string(ru.State),
			Primary: primary[ru.ID], Slots: uint32(ru.Slots),
		}
		if po := ho.router.Pool(ru.Service); po != nil {
			rs.Busy = uint32(po.Busy(ru.ID))
		}
		statuses = append(statuses, rs)
	}
	return statuses
}

func (ho *Host) cellStatus(ctx context.Context, name string) *pb.CellStatus {
	su, err := callCell(ctx, ho, callSummary, name, empty{})
	if err != nil {
		return &pb.CellStatus{Name: name}
	}
	return &pb.CellStatus{
		Name: name, Owner: su.Owner, Epoch: su.Epoch, Journal: su.Seq,
		Workers: counts(su.Workers), Tasks: counts(su.Tasks),
		Capacity: resources(su.Capacity), Reserved: resources(su.Reserved),
	}
}

func counts(in map[string]int) map[string]uint32 {
	out := make(map[string]uint32, len(in))
	for name, n := range in {
		out[name] = uint32(n)
	}
	return out
}

func resources(re worker.Resources) *pb.Resources {
	return &pb.Resources{MilliCores: re.MilliCores, MemMb: re.MemMB, Accels: re.Accels}
}

// Tasks lists the tasks of a cell, or of all cells that answer.
func (os *operatorService) Tasks(ctx context.Context, creq *connect.Request[pb.TasksRequest]) (*connect.Response[pb.TasksResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	names := os.ho.set.DCs
	if one := creq.Msg.GetCell(); one != "" {
		names = []string{one}
	}
	resp := &pb.TasksResponse{}
	for _, name := range names {
		tasks, err := callCell(ctx, os.ho, callTasks, name, creq.Msg.GetJob())
		if err != nil && len(names) == 1 {
			return nil, operatorError(err)
		}
		for _, ta := range tasks {
			resp.Tasks = append(resp.Tasks, taskStatus(name, ta))
		}
	}
	slices.SortFunc(resp.GetTasks(), func(a, b *pb.TaskStatus) int { return strings.Compare(a.GetId(), b.GetId()) })
	return connect.NewResponse(resp), nil
}

func taskStatus(name string, ta cell.NamedTask) *pb.TaskStatus {
	ts := &pb.TaskStatus{
		Id: ta.ID, Job: ta.Job, State: string(ta.State), Attempt: uint32(ta.Attempt),
		Evictions: uint32(ta.Evictions), Result: ta.Result, Cell: name,
	}
	if ta.Active() {
		ts.Worker = ta.Worker
	}
	return ts
}

// Config returns the configuration in force on this host.
func (os *operatorService) Config(context.Context, *connect.Request[pb.ConfigRequest]) (*connect.Response[pb.ConfigResponse], error) {
	doc, ok := os.ho.config.Current()
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no configuration yet"))
	}
	return connect.NewResponse(&pb.ConfigResponse{Version: doc.Version, Values: doc.All()}), nil
}
