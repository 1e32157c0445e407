package cell

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Command is a change that an operator requests. Exactly one field is set.
type Command struct {
	// Add adds a job or a service.
	Add *Spec `json:"add,omitempty"`
	// Cancel names a job to cancel.
	Cancel string `json:"cancel,omitempty"`
	// Resize changes the number of tasks of a job or service.
	Resize *Resize `json:"resize,omitempty"`
	// Drain starts or ends a drain of workers.
	Drain *Drain `json:"drain,omitempty"`
}

// Resize sets the number of tasks of the job or service called Name.
type Resize struct {
	Name  string `json:"name"`
	Tasks int    `json:"tasks"`
}

// Drain selects the workers to drain; one of Host, Rack and All is set.
type Drain struct {
	Host string `json:"host,omitempty"`
	Rack string `json:"rack,omitempty"`
	All  bool   `json:"all,omitempty"`
	// Undo ends the drain instead of starting it.
	Undo bool `json:"undo,omitempty"`
}

// Step is one change that a plan would make.
type Step struct {
	// Verb is add, start, wait, move, evict, stop, cancel, drain, undrain or
	// resize; plans for the configuration and for entry hosts use set and
	// remove.
	Verb string `json:"verb"`
	// Object is the name or id of the job, task, worker, configuration key or
	// entry host that changes.
	Object string `json:"object"`
	// Detail describes the change for operators. It is compared at the
	// confirmation if Basis is set.
	Detail string `json:"detail"`
	// Basis is set on steps that must be the same when the plan is confirmed;
	// a difference is a conflict.
	Basis bool `json:"basis,omitempty"`
}

// basisLine returns the step in the form in which a basis lists it.
func (sp Step) basisLine() string { return sp.Verb + " " + sp.Object + " " + sp.Detail }

// Errors returned by [Owner.Plan] and [Owner.Confirm].
var (
	// ErrImpossible is returned for a command that the cell cannot carry out,
	// for example because it is invalid, or names a job that does not exist.
	ErrImpossible = errors.New("impossible")
	// ErrConflict means that the basis of a plan has changed.
	ErrConflict = errors.New("basis of the plan has changed")
	// ErrJournalUnavailable is returned while the cell's journal cannot be
	// written. The command was not carried out.
	ErrJournalUnavailable = errors.New("cell journal cannot be written")
	// ErrOutcomeUnknown is returned when it is not known whether the command
	// was carried out. Confirming the same plan again returns the outcome.
	ErrOutcomeUnknown = errors.New("outcome of the command is not known yet")
)

// maxTasks limits the tasks of one job.
const maxTasks = 100_000

// Plan returns the steps that a command would take, without changing
// anything. It returns [ErrNotOwner] on a host that does not run the cell, and
// [ErrImpossible] for a command that cannot be carried out.
func (ow *Owner) Plan(cmd Command) ([]Step, error) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if !ow.serving() {
		return nil, ErrNotOwner
	}
	steps, _, err := ow.st.plan(cmd)
	return steps, err
}

// plan returns the steps of a command and the journal records that carry it
// out.
func (st *State) plan(cmd Command) ([]Step, []Record, error) {
	switch {
	case cmd.Add != nil:
		return st.planAdd(*cmd.Add)
	case cmd.Cancel != "":
		return st.planCancel(cmd.Cancel)
	case cmd.Resize != nil:
		return st.planResize(*cmd.Resize)
	case cmd.Drain != nil:
		return st.planDrain(*cmd.Drain)
	}
	return nil, nil, fmt.Errorf("command has no field set: %w", ErrImpossible)
}

func (st *State) planAdd(sp Spec) ([]Step, []Record, error) {
	if err := sp.validate(); err != nil {
		return nil, nil, err
	}
	if st.Jobs[sp.Name] != nil {
		return nil, nil, fmt.Errorf("job %q already exists: %w", sp.Name, ErrImpossible)
	}
	if err := st.checkFeasible(sp); err != nil {
		return nil, nil, err
	}
	steps := []Step{{Verb: "add", Object: sp.Name, Detail: fmt.Sprintf("%d tasks", sp.Tasks), Basis: true}}
	return append(steps, st.capacitySteps(sp, sp.Tasks)...), []Record{{Kind: KindJob, Spec: &sp}}, nil
}

// validate returns an [ErrImpossible] that lists every invalid field.
func (sp Spec) validate() error {
	var errs []error
	addIf := func(invalid bool, text string) {
		if invalid {
			errs = append(errs, errors.New(text))
		}
	}
	addIf(sp.Name == "" || len(sp.Name) > 100, "name must have 1 to 100 bytes")
	addIf(sp.Tasks < 1 || sp.Tasks > maxTasks, fmt.Sprintf("tasks must be 1 to %d", maxTasks))
	addIf(sp.Each.MilliCores < 1 || sp.Each.MemMB < 1 || sp.Each.Accels < 0, "a task needs at least 1 millicore and 1 MiB of memory, and no negative number of accelerators")
	addIf(!sp.Service && sp.RunMS < 1, "a batch task needs a run time of at least 1 ms")
	if len(errs) > 0 {
		return fmt.Errorf("%w: %w", ErrImpossible, errors.Join(errs...))
	}
	return nil
}

// checkFeasible rejects a spec whose tasks fit no worker, even an idle one. A
// cell without workers accepts every spec, as its workers are not known yet.
func (st *State) checkFeasible(sp Spec) error {
	if len(st.Workers) == 0 {
		return nil
	}
	for _, wo := range st.Workers {
		if sp.Each.Fits(wo.Capacity) {
			return nil
		}
	}
	return fmt.Errorf("a task of %q fits no worker of the cell, even an idle one: %w", sp.Name, ErrImpossible)
}

// capacitySteps returns how many of n tasks fit the resources that are free
// now, and how many would wait.
func (st *State) capacitySteps(sp Spec, n int) []Step {
	fitting := 0
	used := st.ReservedByWorker()
	for id, wo := range st.Workers {
		if wo.Drained {
			continue
		}
		free := wo.Capacity.Sub(used[id])
		for fitting < n && sp.Each.Fits(free) {
			free = free.Sub(sp.Each)
			fitting++
		}
	}
	var steps []Step
	if fitting > 0 {
		steps = append(steps, Step{Verb: "start", Object: sp.Name, Detail: fmt.Sprintf("%d tasks have room now", fitting)})
	}
	if fitting < n {
		steps = append(steps, Step{Verb: "wait", Object: sp.Name, Detail: fmt.Sprintf("%d tasks find no room now", n-fitting)})
	}
	return steps
}

func (st *State) planCancel(name string) ([]Step, []Record, error) {
	jo := st.Jobs[name]
	if jo == nil || jo.Cancelled {
		return nil, nil, fmt.Errorf("job %q does not exist or is cancelled: %w", name, ErrImpossible)
	}
	steps := []Step{jo.basisStep("cancel")}
	running := 0
	for i := range jo.Spec.Tasks {
		if ta := st.Tasks[TaskID(name, i)]; ta != nil && ta.Active() {
			running++
		}
	}
	steps = append(steps, Step{Verb: "stop", Object: name, Detail: fmt.Sprintf("%d running tasks", running)})
	return steps, []Record{{Kind: KindCancel, Job: name}}, nil
}

// basisStep returns a step that conflicts if the job is changed before the
// plan is confirmed.
func (jo *Job) basisStep(verb string) Step {
	return Step{Verb: verb, Object: jo.Spec.Name, Detail: fmt.Sprintf("revision %d, %d tasks", jo.Revision, jo.Spec.Tasks), Basis: true}
}

func (st *State) planResize(re Resize) ([]Step, []Record, error) {
	jo := st.Jobs[re.Name]
	if jo == nil || jo.Cancelled {
		return nil, nil, fmt.Errorf("job %q does not exist or is cancelled: %w", re.Name, ErrImpossible)
	}
	sp := jo.Spec.WithTasks(re.Tasks)
	if err := sp.validate(); err != nil {
		return nil, nil, err
	}
	steps := []Step{jo.basisStep("resize"), {Verb: "resize", Object: re.Name, Detail: fmt.Sprintf("to %d tasks", re.Tasks), Basis: true}}
	if more := re.Tasks - jo.Spec.Tasks; more > 0 {
		steps = append(steps, st.capacitySteps(sp, more)...)
	} else if more < 0 {
		steps = append(steps, Step{Verb: "stop", Object: re.Name, Detail: fmt.Sprintf("the last %d tasks", -more)})
	}
	return steps, []Record{{Kind: KindJob, Spec: &sp}}, nil
}

func (st *State) planDrain(dr Drain) ([]Step, []Record, error) {
	var steps []Step
	var records []Record
	verb := "drain"
	if dr.Undo {
		verb = "undrain"
	}
	matched := map[string]bool{}
	for id, wo := range st.Workers {
		if !dr.matches(wo) {
			continue
		}
		matched[id] = true
		if wo.Drained != dr.Undo {
			continue
		}
		steps = append(steps, Step{Verb: verb, Object: id, Detail: "in rack " + wo.Rack, Basis: true})
		records = append(records, Record{Kind: KindDrain, Worker: id, Undo: dr.Undo})
	}
	if len(matched) == 0 {
		return nil, nil, fmt.Errorf("no worker matches the drain (host %q, rack %q, all %t): %w", dr.Host, dr.Rack, dr.All, ErrImpossible)
	}
	if !dr.Undo {
		steps = append(steps, st.moveSteps(matched)...)
	}
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Compare(a.basisLine(), b.basisLine()) })
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Worker, b.Worker) })
	return steps, records, nil
}

func (dr Drain) matches(wo *Worker) bool {
	return dr.All || (dr.Host != "" && wo.ID == dr.Host) || (dr.Rack != "" && wo.Rack == dr.Rack)
}

// moveSteps returns one basis step for each service task that a drain moves,
// and the number of batch tasks on each worker. Batch tasks start and end too
// often to be part of the basis.
func (st *State) moveSteps(from map[string]bool) []Step {
	var steps []Step
	batch := map[string]int{}
	for id, ta := range st.Tasks {
		if !ta.Active() || !from[ta.Worker] {
			continue
		}
		if st.Jobs[ta.Job].Spec.Service {
			steps = append(steps, Step{Verb: "move", Object: id, Detail: "service task, from " + ta.Worker, Basis: true})
			continue
		}
		batch[ta.Worker]++
	}
	for wo, n := range batch {
		steps = append(steps, Step{Verb: "evict", Object: wo, Detail: fmt.Sprintf("%d batch tasks, resumed elsewhere from a checkpoint", n)})
	}
	return steps
}

// Basis returns the lines, sorted, that must be the same when the plan is
// confirmed.
func Basis(steps []Step) []string {
	var lines []string
	for _, sp := range steps {
		if sp.Basis {
			lines = append(lines, sp.basisLine())
		}
	}
	slices.Sort(lines)
	return lines
}

// Confirmation is the request to carry out a plan.
type Confirmation struct {
	// Plan is the id of the plan.
	Plan string `json:"plan"`
	// Command is the command that was planned.
	Command Command `json:"command"`
	// Basis has the lines that [Basis] returned for the plan.
	Basis []string `json:"basis"`
}

// ConfirmResult is the outcome of a confirmation.
type ConfirmResult struct {
	// Applied is set if the plan was carried out, by this confirmation or an
	// earlier one.
	Applied bool `json:"applied"`
	// Changed lists the differences from the plan's basis, or the error of
	// planning again, if the plan was not carried out.
	Changed []string `json:"changed,omitempty"`
	// Seq is the number of the last journal batch.
	Seq int64 `json:"seq"`
}

// command is a confirmation that waits for its result; ended is closed once
// out and err are set.
type command struct {
	Confirmation

	out   ConfirmResult
	err   error
	ended chan struct{}
}

// journalUnavailableAfter is how long an append may take before new commands
// are refused with [ErrJournalUnavailable].
const journalUnavailableAfter = time.Second

// Confirm carries out a plan if its basis is unchanged. A plan that was carried
// out before is not carried out again.
func (ow *Owner) Confirm(ctx context.Context, con Confirmation) (ConfirmResult, error) {
	co := &command{Confirmation: con, ended: make(chan struct{})}
	ow.mu.Lock()
	if !ow.serving() {
		ow.mu.Unlock()
		return ConfirmResult{}, ErrNotOwner
	}
	if !ow.appendStarted.IsZero() && time.Since(ow.appendStarted) > journalUnavailableAfter {
		ow.mu.Unlock()
		return ConfirmResult{}, ErrJournalUnavailable
	}
	ow.commands = append(ow.commands, co)
	ow.mu.Unlock()
	ow.signal()
	select {
	case <-co.ended:
		return co.out, co.err
	case <-ctx.Done():
	}
	return ow.withdraw(co)
}

// withdraw removes a command whose caller has stopped waiting, unless its
// append has begun: then the outcome is unknown.
func (ow *Owner) withdraw(co *command) (ConfirmResult, error) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	before := len(ow.commands)
	ow.commands = slices.DeleteFunc(ow.commands, func(other *command) bool { return other == co })
	if len(ow.commands) < before {
		return ConfirmResult{}, ErrJournalUnavailable
	}
	select {
	case <-co.ended:
		return co.out, co.err
	default:
		return ConfirmResult{}, ErrOutcomeUnknown
	}
}

// commandRecords checks the next command against the state and returns its
// records. A batch has at most one command, so that each is checked against
// the state after the previous one.
func (ow *Owner) commandRecords() []Record {
	for len(ow.commands) > 0 {
		co := ow.commands[0]
		ow.commands = ow.commands[1:]
		records, final := ow.evaluate(co)
		if final {
			close(co.ended)
			continue
		}
		ow.inFlight = append(ow.inFlight, co)
		return append(records, Record{Kind: KindPlan, Plan: co.Plan})
	}
	return nil
}

// evaluate returns the records of a command, or true if the command has its
// result already and needs no records.
func (ow *Owner) evaluate(co *command) ([]Record, bool) {
	if slices.Contains(ow.st.Plans, co.Plan) {
		co.out = ConfirmResult{Applied: true, Seq: ow.st.Seq}
		return nil, true
	}
	steps, records, err := ow.st.plan(co.Command)
	if err != nil {
		co.out = ConfirmResult{Changed: []string{err.Error()}, Seq: ow.st.Seq}
		return nil, true
	}
	if changed := diffBasis(co.Basis, Basis(steps)); len(changed) > 0 {
		co.out = ConfirmResult{Changed: changed, Seq: ow.st.Seq}
		return nil, true
	}
	return records, false
}

// diffBasis lists the lines that only one of the two bases has.
func diffBasis(planned, now []string) []string {
	var changed []string
	for _, line := range planned {
		if !slices.Contains(now, line) {
			changed = append(changed, "no longer: "+line)
		}
	}
	for _, line := range now {
		if !slices.Contains(planned, line) {
			changed = append(changed, "new: "+line)
		}
	}
	return changed
}

// completeCommands returns the result of an append to the callers of its
// commands.
func (ow *Owner) completeCommands(err error) {
	for _, co := range ow.inFlight {
		co.out = ConfirmResult{Applied: err == nil, Seq: ow.st.Seq}
		if err != nil {
			co.err = fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		close(co.ended)
	}
	ow.inFlight = nil
}

// rejectCommands fails all waiting commands with [ErrNotOwner], and closes the
// owner to new ones.
func (ow *Owner) rejectCommands() {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, co := range ow.commands {
		co.err = ErrNotOwner
		close(co.ended)
	}
	ow.commands = nil
	ow.closed = true
}
