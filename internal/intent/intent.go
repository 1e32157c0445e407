// Package intent turns the intents of operators into plans, and carries a plan
// out when it is confirmed and its basis has not changed.
//
// A plan is a row of the table, so that any entry host can confirm it. The owner
// of a cell computes the steps of a plan for the cell, and computes them again
// at the confirmation: the plan is carried out only if the steps of its basis
// are the same. Confirming a plan twice carries it out once: the owner journals
// the plan's id along with the changes, and a change of the configuration is
// written together with the plan's row.
//
// Plans are stored for at least 24 hours. A plan to remove an entry host is not
// marked as carried out.
package intent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/internal/cell"
	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/lease"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Plan is a plan as stored in the table.
type Plan struct {
	// ID is a UUIDv7, so that plans sort by age.
	ID string `json:"id"`
	// Intent is the operator's [pb.Intent] in protojson.
	Intent json.RawMessage `json:"intent"`
	// Cell is the name of the cell that carries out the plan; it is empty for a
	// change of the configuration.
	Cell string `json:"cell,omitempty"`
	// Steps are the changes that the plan would make.
	Steps []cell.Step `json:"steps"`
	// ConfigVersion is the configuration version that a change of the
	// configuration is based on.
	ConfigVersion int64 `json:"config_version,omitempty"`
	// Heartbeat is the number of the member's last renewal, on which a plan to
	// remove an entry host is based.
	Heartbeat int64 `json:"beat,omitempty"`
	// Applied is the configuration version that the plan created, or 0 if it
	// was not carried out.
	Applied int64 `json:"applied,omitempty"`
}

// Basis returns a digest of the plan's basis, in hexadecimal.
func (pl Plan) Basis() string {
	sum := sha256.Sum256(fmt.Append(nil, pl.ConfigVersion, strings.Join(cell.Basis(pl.Steps), "\n")))
	return hex.EncodeToString(sum[:8])
}

// Result is the outcome of a confirmation.
type Result struct {
	// Applied is set if the plan was carried out, by this confirmation or an
	// earlier one.
	Applied bool
	// Changed lists the differences from the plan's basis if it was not carried
	// out.
	Changed []string
	// Version is the version of the configuration, or the number of the cell's
	// last journal batch.
	Version int64
}

// Planner plans and confirms intents. Set the fields before use.
type Planner struct {
	// Table stores the plans.
	Table store.Table
	// Config is the configuration that plans read and change.
	Config *config.Store
	// PlanCell has the owner of a cell plan a command.
	PlanCell func(ctx context.Context, name string, cmd cell.Command) ([]cell.Step, error)
	// ConfirmCell has the owner of a cell carry out a confirmed command.
	ConfirmCell func(ctx context.Context, name string, con cell.Confirmation) (cell.ConfirmResult, error)
	// ChooseCell returns the name of the cell with the most free resources.
	ChooseCell func(ctx context.Context) (string, error)
	// Members returns the members, one per entry host, of this data centre.
	Members func(ctx context.Context) ([]lease.Member, error)
	// DeclareDead removes a member, unless it has renewed since the given
	// renewal.
	DeclareDead func(ctx context.Context, id string, beat int64) error
}

const (
	planPrefix = "plan/"
	// planRetention is the age after which a plan may be deleted.
	planRetention = 24 * time.Hour
	// maxExpiredDeletes limits the old plans that are deleted with a new one.
	maxExpiredDeletes = 8
)

// ErrPlanNotFound is returned for a plan that does not exist or was deleted.
var ErrPlanNotFound = errors.New("plan not found")

// ErrInvalidIntent is returned for an intent that cannot be encoded or decoded,
// or has no request.
var ErrInvalidIntent = errors.New("invalid intent")

// Plan creates and stores a plan. It returns [ErrInvalidIntent],
// [cell.ErrImpossible], or the error of the table or of the cell's owner.
func (pn *Planner) Plan(ctx context.Context, in *pb.Intent) (Plan, error) {
	raw, err := protojson.Marshal(in)
	if err != nil {
		return Plan{}, fmt.Errorf("%w: %w", ErrInvalidIntent, err)
	}
	pl := Plan{ID: uuid.Must(uuid.NewV7()).String(), Intent: raw, Cell: in.GetCell()}
	switch {
	case in.GetSetConfig() != nil:
		pl.Cell = ""
		pl, err = pn.planConfig(ctx, pl, in.GetSetConfig().GetValues())
	case in.GetDeclareDead() != nil:
		pl, err = pn.planDeclareDead(ctx, pl, in.GetDeclareDead().GetMember())
	default:
		pl, err = pn.planCell(ctx, pl, in)
	}
	if err != nil {
		return pl, err
	}
	return pl, pn.storePlan(ctx, pl)
}

func (pn *Planner) planConfig(ctx context.Context, pl Plan, changes map[string]string) (Plan, error) {
	// The table is read first, as the configuration in force on this host may
	// be older.
	if err := pn.Config.Poll(ctx); err != nil {
		return pl, err
	}
	doc, _ := pn.Config.Current()
	if _, err := doc.With(changes); err != nil {
		return pl, fmt.Errorf("%w: %w", cell.ErrImpossible, err)
	}
	pl.ConfigVersion = doc.Version
	for name, value := range changes {
		detail := fmt.Sprintf("from %q to %q", doc.Text(name), value)
		pl.Steps = append(pl.Steps, cell.Step{Verb: "set", Object: name, Detail: detail, Basis: true})
	}
	return pl, nil
}

// planDeclareDead plans the removal of a member. The basis is its last renewal,
// as a member that renews its membership is alive.
func (pn *Planner) planDeclareDead(ctx context.Context, pl Plan, id string) (Plan, error) {
	members, err := pn.Members(ctx)
	if err != nil {
		return pl, err
	}
	var ids []string
	for _, me := range members {
		ids = append(ids, me.ID)
		if me.ID == id {
			pl.Heartbeat = me.Beat
			detail := fmt.Sprintf("last renewal %d; make sure that its process at %s is no more", me.Beat, me.Addr)
			pl.Steps = []cell.Step{{Verb: "remove", Object: id, Detail: detail, Basis: true}}
		}
	}
	if len(pl.Steps) == 0 {
		return pl, fmt.Errorf("member %q does not exist, there are %v: %w", id, ids, cell.ErrImpossible)
	}
	return pl, nil
}

func (pn *Planner) confirmDeclareDead(ctx context.Context, pl Plan, id string) (Result, error) {
	err := pn.DeclareDead(ctx, id, pl.Heartbeat)
	if errors.Is(err, lease.ErrRenewed) {
		return Result{Changed: []string{err.Error()}}, nil
	}
	return Result{Applied: err == nil}, err
}

func (pn *Planner) planCell(ctx context.Context, pl Plan, in *pb.Intent) (Plan, error) {
	cmd, err := Command(in)
	if err != nil {
		return pl, err
	}
	if pl.Cell == "" {
		if pl.Cell, err = pn.ChooseCell(ctx); err != nil {
			return pl, err
		}
	}
	pl.Steps, err = pn.PlanCell(ctx, pl.Cell, cmd)
	return pl, err
}

// Command returns the cell command of an intent, or [ErrInvalidIntent].
func Command(in *pb.Intent) (cell.Command, error) {
	switch what := in.GetWhat().(type) {
	case *pb.Intent_AddJob:
		sp := jobSpec(what.AddJob.GetSpec())
		return cell.Command{Add: &sp}, nil
	case *pb.Intent_CancelJob:
		return cell.Command{Cancel: what.CancelJob.GetName()}, nil
	case *pb.Intent_ResizeJob:
		return cell.Command{Resize: &cell.Resize{Name: what.ResizeJob.GetName(), Tasks: int(what.ResizeJob.GetTasks())}}, nil
	case *pb.Intent_Drain:
		dr := what.Drain
		return cell.Command{Drain: &cell.Drain{
			Host: dr.GetHost(), Rack: dr.GetRack(), All: dr.GetDataCentre(), Undo: dr.GetUndo(),
		}}, nil
	}
	return cell.Command{}, fmt.Errorf("%w: no request is set", ErrInvalidIntent)
}

func jobSpec(sp *pb.JobSpec) cell.Spec {
	return cell.Spec{
		Name: sp.GetName(), Team: sp.GetTeam(), Kind: sp.GetKind(), Urgent: sp.GetUrgent(),
		Service: sp.GetClass() == pb.Class_CLASS_LATENCY_CRITICAL,
		Tasks:   int(sp.GetTasks()), RunMS: int64(sp.GetRunMs()),
		Each: worker.Resources{
			MilliCores: sp.GetEach().GetMilliCores(), MemMB: sp.GetEach().GetMemMb(), Accels: sp.GetEach().GetAccels(),
		},
	}
}

// storePlan writes the plan's row, and deletes a few of the oldest plans if they
// are past their retention.
func (pn *Planner) storePlan(ctx context.Context, pl Plan) error {
	txn, err := store.NewTxn().WithPut(planPrefix+pl.ID, 0, pl)
	if err != nil {
		return err
	}
	old, err := pn.Table.ReadFunc(ctx, store.ReadRequest{Prefix: planPrefix, Limit: maxExpiredDeletes})
	if err != nil {
		return fmt.Errorf("store plan: %w", err)
	}
	for _, row := range old.Rows {
		uid, err := uuid.Parse(strings.TrimPrefix(row.Key, planPrefix))
		if err != nil {
			continue
		}
		sec, nsec := uid.Time().UnixTime()
		if time.Since(time.Unix(sec, nsec)) > planRetention {
			txn.Puts = append(txn.Puts, store.Put{Key: row.Key, Delete: true})
		}
	}
	if _, err := pn.Table.Settle(ctx, txn); err != nil {
		return fmt.Errorf("store plan: %w", err)
	}
	return nil
}

// Confirm carries out a plan if its basis has not changed. It returns
// [ErrPlanNotFound], or the error of the table or of the cell's owner.
func (pn *Planner) Confirm(ctx context.Context, id string) (Result, error) {
	var pl Plan
	version, err := pn.Table.Get(ctx, planPrefix+id, &pl)
	if err != nil {
		return Result{}, fmt.Errorf("read plan %s: %w", id, err)
	}
	if version == 0 {
		return Result{}, fmt.Errorf("plan %s: %w", id, ErrPlanNotFound)
	}
	in := &pb.Intent{}
	if err := protojson.Unmarshal(pl.Intent, in); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrInvalidIntent, err)
	}
	if dead := in.GetDeclareDead(); dead != nil {
		return pn.confirmDeclareDead(ctx, pl, dead.GetMember())
	}
	if pl.Cell == "" {
		return pn.confirmConfig(ctx, pl, version, in.GetSetConfig().GetValues())
	}
	cmd, err := Command(in)
	if err != nil {
		return Result{}, err
	}
	con, err := pn.ConfirmCell(ctx, pl.Cell, cell.Confirmation{Plan: pl.ID, Command: cmd, Basis: cell.Basis(pl.Steps)})
	return Result{Applied: con.Applied, Changed: con.Changed, Version: con.Seq}, err
}

// confirmConfig writes the configuration and the plan's row in one transaction,
// so that the row records whether the plan was carried out.
func (pn *Planner) confirmConfig(ctx context.Context, pl Plan, version int64, changes map[string]string) (Result, error) {
	if pl.Applied > 0 {
		return Result{Applied: true, Version: pl.Applied}, nil
	}
	applied := pl
	applied.Applied = pl.ConfigVersion + 1
	doc, err := pn.Config.Change(ctx, pl.ConfigVersion, changes, config.ExtraRow{Key: planPrefix + pl.ID, Version: version, Value: applied})
	if !errors.Is(err, config.ErrConflict) {
		return Result{Applied: err == nil, Version: doc.Version}, err
	}
	// Another confirmation of the same plan may have come first.
	var now Plan
	if _, rerr := pn.Table.Get(ctx, planPrefix+pl.ID, &now); rerr == nil && now.Applied > 0 {
		return Result{Applied: true, Version: now.Applied}, nil
	}
	return Result{Changed: []string{err.Error()}, Version: doc.Version}, nil
}
