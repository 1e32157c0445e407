package cli

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1/pepperhatchv1connect"
	"github.com/pepperhatch/pepperhatch/internal/config"
)

// adminOptions select the entry host that the operator commands use.
type adminOptions struct {
	outputOption

	Admin   string        `long:"admin" env:"PEPPERHATCH_ADMIN" default:"127.0.0.1:7402" description:"operator address of an entry host"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"timeout of the command"`
}

func (ao adminOptions) client() pepperhatchv1connect.OperatorServiceClient {
	return pepperhatchv1connect.NewOperatorServiceClient(newHTTPClient(), "http://"+ao.Admin)
}

func (ao adminOptions) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), ao.Timeout)
}

// planOptions are the options of the commands that make a plan.
type planOptions struct {
	adminOptions

	Cell string `long:"cell" description:"data centre to change; default for new jobs is the one with most free resources"`
	Yes  bool   `long:"yes" short:"y" description:"apply the plan at once"`
}

// submitPlan requests a plan for the intent and prints it; with --yes it also applies it.
func (po planOptions) submitPlan(st *streams, in *pb.Intent) error {
	ctx, cancel := po.context()
	defer cancel()
	in.Cell = po.Cell
	resp, err := po.client().Plan(ctx, connect.NewRequest(&pb.PlanRequest{Intent: in}))
	if err != nil {
		return operatorError("plan", err)
	}
	if err := po.printPlan(st, resp.Msg); err != nil || !po.Yes {
		return err
	}
	return po.confirm(ctx, st, resp.Msg.GetId())
}

// printPlan prints a plan, with the command that applies it unless --yes is given.
func (po planOptions) printPlan(st *streams, msg *pb.PlanResponse) error {
	if po.json() {
		return printJSON(st, msg)
	}
	where := "configuration"
	if msg.GetCell() != "" {
		where = "cell " + msg.GetCell()
	}
	_, err := fmt.Fprintf(st.out, "plan %s (%s, basis %s)\n", msg.GetId(), where, msg.GetBasis())
	for _, sp := range msg.GetSteps() {
		_, _ = fmt.Fprintf(st.out, "  %-8s %-24s %s\n", sp.GetVerb(), sp.GetObject(), sp.GetDetail())
	}
	if !po.Yes {
		_, _ = fmt.Fprintf(st.out, "nothing is changed until: pepperhatch confirm %s\n", msg.GetId())
	}
	return err
}

// confirm applies a plan and prints the result.
func (ao adminOptions) confirm(ctx context.Context, st *streams, id string) error {
	resp, err := ao.client().Confirm(ctx, connect.NewRequest(&pb.ConfirmRequest{Id: id}))
	if err != nil {
		return operatorError("confirm", err)
	}
	if ao.json() {
		if err := printJSON(st, resp.Msg); err != nil {
			return err
		}
	}
	if !resp.Msg.GetApplied() {
		text := "not applied, because the state has changed:\n  " + strings.Join(resp.Msg.GetConflict(), "\n  ")
		return &exitError{code: ExitConflict, err: errors.New(text)}
	}
	if !ao.json() {
		_, err = fmt.Fprintf(st.out, "carried out at version %d\n", resp.Msg.GetVersion())
	}
	return err
}

// operatorError returns the error of a request with the exit code for its status code.
func operatorError(step string, err error) error {
	code := ExitFailed
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable:
		code = ExitNotRun
	case connect.CodeUnknown, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		code = ExitUnknown
	case connect.CodeAborted:
		code = ExitConflict
	case connect.CodeInvalidArgument:
		code = ExitUsage
	}
	return &exitError{code: code, err: fmt.Errorf("%s: %w", step, err)}
}

func printJSON(st *streams, msg proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(msg)
	if err != nil {
		return fmt.Errorf("encode response: %w", err)
	}
	_, err = fmt.Fprintf(st.out, "%s\n", data)
	return err
}

type planCommand struct {
	planOptions

	Args struct {
		Intent string `positional-arg-name:"INTENT"`
	} `positional-args:"yes" required:"yes"`

	st *streams
}

// Execute implements flags.Commander.
func (pc *planCommand) Execute([]string) error {
	in := &pb.Intent{}
	if err := protojson.Unmarshal([]byte(pc.Args.Intent), in); err != nil {
		return &exitError{code: ExitUsage, err: fmt.Errorf("intent: %w", err)}
	}
	if pc.Cell == "" {
		pc.Cell = in.GetCell()
	}
	return pc.submitPlan(pc.st, in)
}

type confirmCommand struct {
	adminOptions

	Args struct {
		Plan string `positional-arg-name:"PLAN"`
	} `positional-args:"yes" required:"yes"`

	st *streams
}

// Execute implements flags.Commander.
func (cc *confirmCommand) Execute([]string) error {
	ctx, cancel := cc.context()
	defer cancel()
	return cc.confirm(ctx, cc.st, cc.Args.Plan)
}

type drainCommand struct {
	planOptions

	Host string `long:"host" description:"drain this worker"`
	Rack string `long:"rack" description:"drain all workers of this rack"`
	All  bool   `long:"all" description:"drain all workers of the cell"`
	Undo bool   `long:"undo" description:"end the drain instead"`

	st *streams
}

// Execute implements flags.Commander.
func (dc *drainCommand) Execute([]string) error {
	targets := 0
	for _, set := range []bool{dc.Host != "", dc.Rack != "", dc.All} {
		if set {
			targets++
		}
	}
	if targets != 1 || dc.Cell == "" {
		return &exitError{code: ExitUsage, err: errors.New("--cell and exactly one of --host, --rack and --all are required")}
	}
	return dc.submitPlan(dc.st, &pb.Intent{What: &pb.Intent_Drain{Drain: &pb.Drain{
		Host: dc.Host, Rack: dc.Rack, DataCentre: dc.All, Undo: dc.Undo,
	}}})
}

type declareDeadCommand struct {
	planOptions

	Args struct {
		Member string `positional-arg-name:"ENTRY-HOST"`
	} `positional-args:"yes" required:"yes"`

	st *streams
}

// Execute implements flags.Commander.
func (dc *declareDeadCommand) Execute([]string) error {
	return dc.submitPlan(dc.st, &pb.Intent{What: &pb.Intent_DeclareDead{DeclareDead: &pb.DeclareDead{Member: dc.Args.Member}}})
}

// specOptions are the options that jobs and services have in common.
type specOptions struct {
	planOptions

	Name   string  `long:"name" required:"true" description:"name, unique in its cell"`
	Team   string  `long:"team" description:"team whose quota it counts against"`
	Kind   string  `long:"kind" description:"kind of work; estimates are shared by tasks of one kind; default is the name"`
	Tasks  uint32  `long:"tasks" default:"1" description:"number of identical tasks"`
	Cores  float64 `long:"cores" default:"1" description:"cores of each task"`
	Mem    int64   `long:"mem" default:"1000" description:"memory of each task in MiB"`
	Accels int64   `long:"accels" description:"accelerators of each task"`
	Urgent bool    `long:"urgent" description:"place before other work, evicting batch tasks if necessary"`
}

func (so specOptions) jobSpec(class pb.Class) *pb.JobSpec {
	kind := so.Kind
	if kind == "" {
		kind = so.Name
	}
	return &pb.JobSpec{
		Name: so.Name, Team: so.Team, Kind: kind, Class: class, Tasks: so.Tasks, Urgent: so.Urgent,
		Each: &pb.Resources{MilliCores: int64(so.Cores * 1000), MemMb: so.Mem, Accels: so.Accels},
	}
}

type jobAddCommand struct {
	specOptions

	Run time.Duration `long:"run" default:"1m" description:"declared run time of each task"`

	st *streams
}

// Execute implements flags.Commander.
func (jc *jobAddCommand) Execute([]string) error {
	sp := jc.jobSpec(pb.Class_CLASS_BATCH)
	sp.RunMs = uint64(jc.Run.Milliseconds())
	return jc.submitPlan(jc.st, &pb.Intent{What: &pb.Intent_AddJob{AddJob: &pb.AddJob{Spec: sp}}})
}

type serviceAddCommand struct {
	specOptions

	st *streams
}

// Execute implements flags.Commander.
func (sc *serviceAddCommand) Execute([]string) error {
	sp := sc.jobSpec(pb.Class_CLASS_LATENCY_CRITICAL)
	return sc.submitPlan(sc.st, &pb.Intent{What: &pb.Intent_AddJob{AddJob: &pb.AddJob{Spec: sp}}})
}

type jobCancelCommand struct {
	planOptions

	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`

	st *streams
}

// Execute implements flags.Commander.
func (jc *jobCancelCommand) Execute([]string) error {
	return jc.submitPlan(jc.st, &pb.Intent{What: &pb.Intent_CancelJob{CancelJob: &pb.CancelJob{Name: jc.Args.Name}}})
}

type jobResizeCommand struct {
	planOptions

	Args struct {
		Name  string `positional-arg-name:"NAME"`
		Tasks uint32 `positional-arg-name:"TASKS"`
	} `positional-args:"yes" required:"yes"`

	st *streams
}

// Execute implements flags.Commander.
func (jc *jobResizeCommand) Execute([]string) error {
	return jc.submitPlan(jc.st, &pb.Intent{What: &pb.Intent_ResizeJob{ResizeJob: &pb.ResizeJob{Name: jc.Args.Name, Tasks: jc.Args.Tasks}}})
}

type jobTasksCommand struct {
	adminOptions

	Cell string `long:"cell" description:"data centre; default is all"`
	Job  string `long:"job" description:"job or service; default is all"`

	st *streams
}

// Execute implements flags.Commander.
func (jc *jobTasksCommand) Execute([]string) error {
	ctx, cancel := jc.context()
	defer cancel()
	resp, err := jc.client().Tasks(ctx, connect.NewRequest(&pb.TasksRequest{Cell: jc.Cell, Job: jc.Job}))
	if err != nil {
		return operatorError("tasks", err)
	}
	if jc.json() {
		return printJSON(jc.st, resp.Msg)
	}
	_, err = fmt.Fprintf(jc.st.out, "%-24s %-12s %-9s %-16s %8s %9s  %s\n", "TASK", "CELL", "STATE", "WORKER", "ATTEMPTS", "EVICTIONS", "RESULT")
	for _, ta := range resp.Msg.GetTasks() {
		_, _ = fmt.Fprintf(jc.st.out, "%-24s %-12s %-9s %-16s %8d %9d  %s\n", ta.GetId(), ta.GetCell(), ta.GetState(),
			ta.GetWorker(), ta.GetAttempt(), ta.GetEvictions(), ta.GetResult())
	}
	return err
}

type configGetCommand struct {
	adminOptions

	st *streams
}

// Execute implements flags.Commander.
func (cc *configGetCommand) Execute([]string) error {
	ctx, cancel := cc.context()
	defer cancel()
	resp, err := cc.client().Config(ctx, connect.NewRequest(&pb.ConfigRequest{}))
	if err != nil {
		return operatorError("config", err)
	}
	if cc.json() {
		return printJSON(cc.st, resp.Msg)
	}
	_, err = fmt.Fprintf(cc.st.out, "version %d\n", resp.Msg.GetVersion())
	printSorted(cc.st, resp.Msg.GetValues())
	return err
}

type configSetCommand struct {
	planOptions

	Args struct {
		Values []string `positional-arg-name:"KEY=VALUE" required:"1"`
	} `positional-args:"yes"`

	st *streams
}

// Execute implements flags.Commander.
func (cc *configSetCommand) Execute([]string) error {
	values := map[string]string{}
	for _, pair := range cc.Args.Values {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return &exitError{code: ExitUsage, err: fmt.Errorf("argument %q is not of the form KEY=VALUE", pair)}
		}
		values[name] = value
	}
	return cc.submitPlan(cc.st, &pb.Intent{What: &pb.Intent_SetConfig{SetConfig: &pb.SetConfig{Values: values}}})
}

type configKeysCommand struct{ st *streams }

// Execute implements flags.Commander.
func (cc *configKeysCommand) Execute([]string) error {
	for _, ke := range config.Keys {
		if _, err := fmt.Fprintf(cc.st.out, "%-30s %-8s %s\n", ke.Name, ke.Default, ke.Meaning); err != nil {
			return err
		}
	}
	return nil
}

type quotaCommand struct {
	planOptions

	Args struct {
		Team  string `positional-arg-name:"TEAM"`
		Quota string `positional-arg-name:"QUOTA"`
	} `positional-args:"yes" required:"yes"`

	st *streams
}

// Execute implements flags.Commander.
func (qc *quotaCommand) Execute([]string) error {
	values := map[string]string{config.QuotaPrefix + qc.Args.Team: qc.Args.Quota}
	return qc.submitPlan(qc.st, &pb.Intent{What: &pb.Intent_SetConfig{SetConfig: &pb.SetConfig{Values: values}}})
}
