// Package intent takes what operators want, works out a plan, and carries the
// plan out once it is confirmed and if its basis still holds.
//
// A plan is a row of the table, so that any entry host can confirm it. What
// it would do to a cell is worked out by the cell's owner, and again at the
// confirmation: the plan is carried out only if both rest on the same lines.
// The owner notes the plan's id in the cell's journal along with the changes,
// and so does the configuration's version: confirming twice does it once.
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

// Plan is a plan as kept in the table.
type Plan struct {
	// ID names it; it is a UUIDv7, so that plans sort by age.
	ID string `json:"id"`
	// Intent is the operator's, in protojson.
	Intent json.RawMessage `json:"intent"`
	// Cell carries it out; empty for the configuration.
	Cell string `json:"cell,omitempty"`
	// Steps are the changes.
	Steps []cell.Step `json:"steps"`
	// ConfigVersion is the basis of a change of configuration.
	ConfigVersion int64 `json:"config_version,omitempty"`
	// Beat is the basis of a word that an entry host is dead.
	Heartbeat int64 `json:"beat,omitempty"`
	// Applied is the configuration version that it made.
	Applied int64 `json:"applied,omitempty"`
}

// Basis returns a digest of what the plan rests on.
func (pl Plan) Basis() string {
	sum := sha256.Sum256(fmt.Append(nil, pl.ConfigVersion, strings.Join(cell.Basis(pl.Steps), "\n")))
	return hex.EncodeToString(sum[:8])
}

// Result says what became of a plan.
type Result struct {
	// Applied is set if it was carried out, now or before.
	Applied bool
	// Changed lists what changed since, if it was not.
	Changed []string
	// Version is the configuration's, or the cell's last batch.
	Version int64
}

// Desk takes intents. Set the fields before use.
type Planner struct {
	// Table is the platform's.
	Table store.Table
	// Config holds the configuration.
	Config *config.Store
	// PlanCell has the owner of a cell work out a command.
	PlanCell func(ctx context.Context, name string, cmd cell.Command) ([]cell.Step, error)
	// ConfirmCell has the owner of a cell carry out a command.
	ConfirmCell func(ctx context.Context, name string, con cell.Confirmation) (cell.ConfirmResult, error)
	// ChooseCell returns the cell with the most room.
	ChooseCell func(ctx context.Context) (string, error)
	// Members returns the entry hosts that are members in this data centre.
	Members func(ctx context.Context) ([]lease.Member, error)
	// DeclareDead removes a member whose row is at the beat.
	DeclareDead func(ctx context.Context, id string, beat int64) error
}

const (
	planPrefix = "plan/"
	// planKept is how long a plan can be confirmed.
	planRetention = 24 * time.Hour
	// planSweep is how many old plans are deleted with a new one.
	maxExpiredDeletes = 8
)

// ErrNoPlan is returned for a plan that is not known, or no longer.
var ErrPlanNotFound = errors.New("no such plan")

// ErrBadIntent is returned for an intent that cannot be read.
var ErrInvalidIntent = errors.New("intent cannot be read")

// Plan works out and keeps a plan.
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
	// Planned on the row, not on what is in force here: it may lag.
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

// planDead rests on the member's last renewal: one that renews is not dead.
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
		return pl, fmt.Errorf("no member %q, there are %v: %w", id, ids, cell.ErrImpossible)
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

// Command turns an intent on a cell into the cell's command.
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
	return cell.Command{}, fmt.Errorf("%w: it wants nothing", ErrInvalidIntent)
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

// keep writes the plan's row, and deletes a few of those too old to confirm.
func (pn *Planner) storePlan(ctx context.Context, pl Plan) error {
	txn, err := store.NewTxn().WithPut(planPrefix+pl.ID, 0, pl)
	if err != nil {
		return err
	}
	old, err := pn.Table.ReadFunc(ctx, store.ReadRequest{Prefix: planPrefix, Limit: maxExpiredDeletes})
	if err != nil {
		return fmt.Errorf("keep plan: %w", err)
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
		return fmt.Errorf("keep plan: %w", err)
	}
	return nil
}

// Confirm carries out a plan if its basis holds.
func (pn *Planner) Confirm(ctx context.Context, id string) (Result, error) {
	var pl Plan
	version, err := pn.Table.Get(ctx, planPrefix+id, &pl)
	if err != nil {
		return Result{}, fmt.Errorf("confirm: %w", err)
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

// confirmConfig writes the configuration and the plan's row in one write, so
// that the row says whether it was carried out.
func (pn *Planner) confirmConfig(ctx context.Context, pl Plan, version int64, changes map[string]string) (Result, error) {
	if pl.Applied > 0 {
		return Result{Applied: true, Version: pl.Applied}, nil
	}
	applied := pl
	applied.Applied = pl.ConfigVersion + 1
	doc, err := pn.Config.Change(ctx, pl.ConfigVersion, changes, config.Also{Key: planPrefix + pl.ID, Version: version, Value: applied})
	if !errors.Is(err, config.ErrConflict) {
		return Result{Applied: err == nil, Version: doc.Version}, err
	}
	// Another confirmation of the same plan may have been first.
	var now Plan
	if _, rerr := pn.Table.Get(ctx, planPrefix+pl.ID, &now); rerr == nil && now.Applied > 0 {
		return Result{Applied: true, Version: now.Applied}, nil
	}
	return Result{Changed: []string{err.Error()}, Version: doc.Version}, nil
}
