// Package account summarises how the time of jobs was spent, from the logs of the
// hosts that owned their cell.
//
// The owner logs "job time" when a job ends, and "job waits" from time to time
// before; both lines carry the time by cause. An [Aggregator] retains one line of
// each job, the final one or else that with the highest age, so the logs of several
// hosts can be read in any order. A host that takes over a cell counts the time of
// its jobs from then on, so the time before a takeover is only in the former owner's
// lines.
package account

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/go-logfmt/logfmt"

	"github.com/pepperhatch/pepperhatch/internal/sched"
)

// Messages of the log lines that are read.
const (
	msgJobTime  = "job time"
	msgJobWaits = "job waits"
)

// maxLateFactor is how many times its target duration a job may take and still be of
// some value to its caller, as the platform's users state it.
const maxLateFactor = 3

// maxLineBytes bounds the length of a log line; a longer one fails the read.
const maxLineBytes = 1 << 20

// entry holds the values of a job's log line. Times are in milliseconds.
type entry struct {
	queue     string
	state     string
	ageMS     int64
	targetMS  int64
	msByCause []int64
	failed    int64
	moved     int64
	ended     bool
}

// Aggregator collects the time of jobs. The zero value is ready to use.
type Aggregator struct {
	jobs map[string]entry
	// Lines counts the lines used, Malformed those that could not be decoded.
	Lines, Malformed int
}

// Read adds the lines of a log.
func (ag *Aggregator) Read(re io.Reader) error {
	sc := bufio.NewScanner(re)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		ag.addLine(sc.Text())
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// addLine adds one line. Text before its "level" field, such as a log collector's
// prefix, is skipped.
func (ag *Aggregator) addLine(text string) {
	at := strings.Index(text, "level=")
	if at < 0 || !isTimeLine(text) {
		return
	}
	fields := map[string]string{}
	de := logfmt.NewDecoder(strings.NewReader(text[at:]))
	for de.ScanRecord() {
		for de.ScanKeyval() {
			fields[string(de.Key())] = string(de.Value())
		}
	}
	en, err := decode(fields)
	if de.Err() != nil || err != nil {
		ag.Malformed++
		return
	}
	ag.Lines++
	if ag.jobs == nil {
		ag.jobs = map[string]entry{}
	}
	old, found := ag.jobs[fields["job"]]
	if !found || en.ended || (!old.ended && en.ageMS >= old.ageMS) {
		ag.jobs[fields["job"]] = en
	}
}

// isTimeLine reports whether a line may hold a job's time.
func isTimeLine(text string) bool {
	return strings.Contains(text, `msg="`+msgJobTime+`"`) || strings.Contains(text, `msg="`+msgJobWaits+`"`)
}

// decode converts the fields of a line, and returns the first error.
func decode(fields map[string]string) (entry, error) {
	en := entry{queue: fields["queue"], state: fields["state"], ended: fields["msg"] == msgJobTime}
	var first error
	number := func(key string) int64 {
		n, err := strconv.ParseInt(fields[key], 10, 64)
		if err != nil && first == nil {
			first = fmt.Errorf("field %s: %w", key, err)
		}
		return n
	}
	en.ageMS, en.targetMS = number("age_ms"), number("aim_ms")
	en.failed, en.moved = number("failed"), number("moved")
	for _, name := range sched.CauseNames() {
		en.msByCause = append(en.msByCause, number(name+"_ms"))
	}
	return en, first
}

// timeliness classifies a job's age by its target duration.
type timeliness int

const (
	inTime timeliness = iota
	late
	tooLate
	timelinessCount
)

var timelinessNames = [timelinessCount]string{"in time", "late", "too late"}

// classify returns the timeliness of a job. One that has not ended is classified by its
// age so far, and is late at best.
func (en *entry) classify() timeliness {
	switch {
	case en.ageMS <= en.targetMS && en.ended:
		return inTime
	case en.ageMS <= maxLateFactor*en.targetMS:
		return late
	}
	return tooLate
}

// Row summarises the jobs of one queue and timeliness.
type Row struct {
	// Queue and Timeliness identify the group.
	Queue      string
	Timeliness string
	// Jobs counts all jobs, Open those that have not ended.
	Jobs, Open int
	// Failed and Moved count their attempts that failed or were moved.
	Failed, Moved int64
	// MeanMS is their mean age in milliseconds, Shares the fraction of their time by
	// cause, in the order of [sched.CauseNames].
	MeanMS int64
	Shares []float64
}

// Rows returns a summary for each queue and timeliness. Cancelled jobs are left out.
func (ag *Aggregator) Rows() []Row {
	type group struct {
		queue string
		ti    timeliness
	}
	sums := map[group]*Row{}
	times := map[group][]int64{}
	for _, en := range ag.jobs {
		if en.state == "cancelled" {
			continue
		}
		gr := group{en.queue, en.classify()}
		ro := sums[gr]
		if ro == nil {
			ro = &Row{Queue: gr.queue, Timeliness: timelinessNames[gr.ti]}
			sums[gr], times[gr] = ro, make([]int64, len(en.msByCause))
		}
		ro.add(en, times[gr])
	}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b group) int {
		return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.ti, b.ti))
	})
	rows := make([]Row, 0, len(keys))
	for _, gr := range keys {
		rows = append(rows, sums[gr].averaged(times[gr]))
	}
	return rows
}

// add adds a job to the row and to the times by cause.
func (ro *Row) add(en entry, times []int64) {
	ro.Jobs++
	if !en.ended {
		ro.Open++
	}
	ro.Failed += en.failed
	ro.Moved += en.moved
	ro.MeanMS += en.ageMS
	for i, ms := range en.msByCause {
		times[i] += ms
	}
}

// averaged returns the row with the sums turned into means and shares.
func (ro *Row) averaged(times []int64) Row {
	var all int64
	for _, ms := range times {
		all += ms
	}
	for _, ms := range times {
		ro.Shares = append(ro.Shares, float64(ms)/float64(max(all, 1)))
	}
	ro.MeanMS /= int64(ro.Jobs)
	return *ro
}

// Print writes the rows as a table.
func Print(out io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(tw, "QUEUE\tDONE\tJOBS\tOPEN\tMEAN MS\tFAILED\tMOVED\t%s\t\n", strings.ToUpper(strings.Join(sched.CauseNames(), "\t")))
	for _, ro := range rows {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t", ro.Queue, ro.Timeliness, ro.Jobs, ro.Open, ro.MeanMS, ro.Failed, ro.Moved)
		for _, sh := range ro.Shares {
			_, _ = fmt.Fprintf(tw, "%.3f\t", sh)
		}
		_, _ = fmt.Fprintln(tw)
	}
	return tw.Flush()
}
