package cell

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Command is what an operator wants of a cell. One field is set.
type Command struct {
	// Add adds a job or a service.
	Add *Spec `json:"add,omitempty"`
	// Cancel names a job to cancel.
	Cancel string `json:"cancel,omitempty"`
	// Resize changes a job's number of tasks.
	Resize *Resize `json:"resize,omitempty"`
	// Drain begins or ends a drain.
	Drain *Drain `json:"drain,omitempty"`
}

// Resize is a job's new number of tasks.
type Resize struct {
	Name  string `json:"name"`
	Tasks int    `json:"tasks"`
}

// Drain names workers to drain; one of the first three is set.
type Drain struct {
	Host string `json:"host,omitempty"`
	Rack string `json:"rack,omitempty"`
	All  bool   `json:"all,omitempty"`
	// Undo ends the drain.
	Undo bool `json:"undo,omitempty"`
}

// Step is one change that a plan makes.
type Step struct {
	// Verb is start, wait, move, evict, stop, drain, undrain or resize.
	Verb string `json:"verb"`
	// Object is what is changed.
	Object string `json:"object"`
	// Detail says more, for people.
	Detail string `json:"detail"`
	// Basis is set if the plan rests on it: if it differs at the time of
	// confirmation, that is a conflict.
	Basis bool `json:"basis,omitempty"`
}

func (sp Step) basisLine() string { return sp.Verb + " " + sp.Object + " " + sp.Detail }

// Errors of commands.
var (
	// ErrImpossible is returned for what can never be done.
	ErrImpossible = errors.New("impossible")
	// ErrConflict is returned when the basis of a plan no longer holds.
	ErrConflict = errors.New("basis of the plan has changed")
	// ErrAway is returned while the cell's journal cannot be written; the
	// command was not carried out.
	ErrJournalUnavailable = errors.New("journal cannot be written now")
	// ErrUnsettled is returned when it is not known whether the command was
	// carried out. Confirming again tells.
	ErrOutcomeUnknown = errors.New("outcome not known yet")
)

// maxTasks bounds the tasks of one job.
const maxTasks = 100_000

// Plan works out what a command would do, and changes nothing.
func (ow *Owner) Plan(cmd Command) ([]Step, error) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if !ow.serving() {
		return nil, ErrNotOwner
	}
	steps, _, err := ow.st.plan(cmd)
	return steps, err
}

// plan returns the steps of a command and the records that carry it out.
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
	return nil, nil, fmt.Errorf("empty command: %w", ErrImpossible)
}

func (st *State) planAdd(sp Spec) ([]Step, []Record, error) {
	if err := sp.validate(); err != nil {
		return nil, nil, err
	}
	if st.Jobs[sp.Name] != nil {
		return nil, nil, fmt.Errorf("job %s is there already: %w", sp.Name, ErrImpossible)
	}
	if err := st.checkFeasible(sp); err != nil {
		return nil, nil, err
	}
	steps := []Step{{Verb: "add", Object: sp.Name, Detail: fmt.Sprintf("%d tasks", sp.Tasks), Basis: true}}
	return append(steps, st.capacitySteps(sp, sp.Tasks)...), []Record{{Kind: KindJob, Spec: &sp}}, nil
}

// check names every mistake of a spec.
func (sp Spec) validate() error {
	var errs []error
	addIf := func(invalid bool, text string) {
		if invalid {
			errs = append(errs, errors.New(text))
		}
	}
	addIf(sp.Name == "" || len(sp.Name) > 100, "name must have 1 to 100 bytes")
	addIf(sp.Tasks < 1 || sp.Tasks > maxTasks, fmt.Sprintf("tasks must be 1 to %d", maxTasks))
	addIf(sp.Each.MilliCores < 1 || sp.Each.MemMB < 1 || sp.Each.Accels < 0, "a task needs cores and memory")
	addIf(!sp.Service && sp.RunMS < 1, "a batch task needs a run time")
	if len(errs) > 0 {
		return fmt.Errorf("%w: %w", ErrImpossible, errors.Join(errs...))
	}
	return nil
}

// everFits refuses tasks that no worker could hold even if it were empty.
func (st *State) checkFeasible(sp Spec) error {
	if len(st.Workers) == 0 {
		return nil
	}
	for _, wo := range st.Workers {
		if sp.Each.Fits(wo.Capacity) {
			return nil
		}
	}
	return fmt.Errorf("a task of %s fits no worker of the cell, even an empty one: %w", sp.Name, ErrImpossible)
}

// roomSteps says how many tasks find room as things are, and how many wait.
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
		return nil, nil, fmt.Errorf("no job %s: %w", name, ErrImpossible)
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

// step is a step that rests on the job as it is.
func (jo *Job) basisStep(verb string) Step {
	return Step{Verb: verb, Object: jo.Spec.Name, Detail: fmt.Sprintf("revision %d, %d tasks", jo.Revision, jo.Spec.Tasks), Basis: true}
}

func (st *State) planResize(re Resize) ([]Step, []Record, error) {
	jo := st.Jobs[re.Name]
	if jo == nil || jo.Cancelled {
		return nil, nil, fmt.Errorf("no job %s: %w", re.Name, ErrImpossible)
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
		return nil, nil, fmt.Errorf("no such worker or rack: %w", ErrImpossible)
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

// moveSteps lists the services that a drain moves, on which the plan rests,
// and counts its batch tasks, which come and go too fast for that.
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

// Basis returns the lines on which a plan rests.
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

// Confirmation asks for a plan to be carried out.
type Confirmation struct {
	// Plan is the plan's id.
	Plan string `json:"plan"`
	// Command is what it is for.
	Command Command `json:"command"`
	// Basis has the lines on which it rests.
	Basis []string `json:"basis"`
}

// Confirmed says what became of it.
type ConfirmResult struct {
	// Applied is set if the plan was carried out, now or before.
	Applied bool `json:"applied"`
	// Changed lists what changed since, if it was not.
	Changed []string `json:"changed,omitempty"`
	// Seq is the last batch.
	Seq int64 `json:"seq"`
}

// command is a confirmation that waits for its turn.
type command struct {
	Confirmation

	out   ConfirmResult
	err   error
	ended chan struct{}
}

// awayAfter is how long an append may take before the table counts as away.
const journalUnavailableAfter = time.Second

// Confirm carries out a plan if its basis holds, once.
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

// withdraw takes back a command that nobody waits for any more, if its append
// is not under way.
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
// records. There is one in a batch, so that each is checked against all that
// went before.
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

// check reports whether a command ends here, or else its records.
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

// differences lists the lines that only one side has.
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

// answerCommands tells those whose append ended.
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

// refuseAll answers commands that this owner will not carry out.
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
