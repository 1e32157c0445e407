package cli

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"connectrpc.com/connect"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
)

type statusCommand struct {
	adminOptions

	st *streams
}

// Execute implements flags.Commander.
func (sc *statusCommand) Execute([]string) error {
	ctx, cancel := sc.context()
	defer cancel()
	resp, err := sc.client().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return operatorError("status", err)
	}
	if sc.json() {
		return printJSON(sc.st, resp.Msg)
	}
	printStatus(sc.st, resp.Msg)
	return nil
}

// printStatus prints tables of the entry hosts, runners and cells.
func printStatus(st *streams, msg *pb.StatusResponse) {
	table := "reachable"
	if !msg.GetPlatformOk() {
		table = "AWAY"
	}
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(st.out, format+"\n", args...) }
	line("asked %s; platform's table %s; configuration %d in force at %d of %d entry hosts",
		msg.GetAnsweredBy(), table, msg.GetConfigVersion(), msg.GetInForce(), len(msg.GetEntries()))
	line("")
	line("%-24s %-14s %7s %7s %-14s %s", "ENTRY HOST", "DATA CENTRE", "CONFIG", "SHARDS", "CELLS", "STATE")
	for _, en := range msg.GetEntries() {
		line("%-24s %-14s %7d %7d %-14s %s", en.GetId(), en.GetDataCentre(), en.GetConfigVersion(), en.GetShards(),
			strings.Join(en.GetCells(), ","), entryState(en))
	}
	line("")
	line("%-16s %-14s %-14s %-8s %5s/%-5s %s", "RUNNER", "DATA CENTRE", "SERVICE", "STATE", "BUSY", "SLOTS", "PRIMARY")
	for _, ru := range msg.GetRunners() {
		line("%-16s %-14s %-14s %-8s %5d/%-5d %s", ru.GetId(), ru.GetDataCentre(), ru.GetService(), ru.GetState(),
			ru.GetBusy(), ru.GetSlots(), ru.GetPrimary())
	}
	line("")
	line("%-14s %-24s %6s %8s %-22s %-36s %s", "CELL", "OWNER", "EPOCH", "JOURNAL", "CORES GIVEN", "TASKS", "WORKERS")
	for _, ce := range msg.GetCells() {
		cores := fmt.Sprintf("%.1f of %.1f", float64(ce.GetReserved().GetMilliCores())/1000, float64(ce.GetCapacity().GetMilliCores())/1000)
		line("%-14s %-24s %6d %8d %-22s %-36s %s", ce.GetName(), valueOrNone(ce.GetOwner()), ce.GetEpoch(), ce.GetJournal(), cores,
			formatCounts(ce.GetTasks()), formatCounts(ce.GetWorkers()))
	}
}

func entryState(en *pb.EntryStatus) string {
	switch {
	case en.GetStopping():
		return "stopping"
	case en.GetConfigVersion() < 0:
		return "not ready"
	}
	return "ready"
}

func valueOrNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

// formatCounts formats counts such as "2 live, 1 lost", sorted by name.
func formatCounts(counts map[string]uint32) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return valueOrNone(strings.Join(parts, ", "))
}

// printSorted prints the values in the order of their names.
func printSorted(st *streams, values map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		_, _ = fmt.Fprintf(st.out, "%-30s %s\n", name, values[name])
	}
}
