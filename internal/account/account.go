// Package account says what the time of jobs went to, from the log of the hosts
// that owned their cell.
//
// The owner writes a line "job time" when a job is over, and "job waits" from
// time to time before; both carry the time by cause. A [Aggregator] keeps the last
// line of each job, so it takes the logs of several hosts in any order. A host
// that takes over counts a job's time from then on, so a job's earlier time is
// that of the former owner's last line.
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

// Messages of the lines that count.
const (
	msgTime = "job time"
	msgWait = "job waits"
)

// lateMost is how many times its aim a job may take and still be worth something
// to its caller, as the users state it.
const lateMost = 3

// lineMost is the longest line that is read, in bytes.
const lineMost = 1 << 20

// entry is what is known of a job.
type entry struct {
	queue   string
	state   string
	ageMS   int64
	aimMS   int64
	byCause []int64
	failed  int64
	moved   int64
	over    bool
}

// Aggregator has the time of jobs. The zero Aggregator is empty.
type Aggregator struct {
	jobs map[string]entry
	// Lines counts those that counted, Malformed those that could not be read.
	Lines, Malformed int
}

// Read takes in a log.
func (ag *Aggregator) Read(re io.Reader) error {
	sc := bufio.NewScanner(re)
	sc.Buffer(nil, lineMost)
	for sc.Scan() {
		ag.line(sc.Text())
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// line takes in one line. What a collector put before the line's first key does
// not matter.
func (ag *Aggregator) line(text string) {
	at := strings.Index(text, "level=")
	if at < 0 || !tellsTime(text) {
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
	if !found || en.over || (!old.over && en.ageMS >= old.ageMS) {
		ag.jobs[fields["job"]] = en
	}
}

// tellsTime reports whether a line may tell of a job's time.
func tellsTime(text string) bool {
	return strings.Contains(text, `msg="`+msgTime+`"`) || strings.Contains(text, `msg="`+msgWait+`"`)
}

// decode reads the fields of a line.
func decode(fields map[string]string) (entry, error) {
	en := entry{queue: fields["queue"], state: fields["state"], over: fields["msg"] == msgTime}
	var first error
	number := func(key string) int64 {
		n, err := strconv.ParseInt(fields[key], 10, 64)
		if err != nil && first == nil {
			first = fmt.Errorf("field %s: %w", key, err)
		}
		return n
	}
	en.ageMS, en.aimMS = number("age_ms"), number("aim_ms")
	en.failed, en.moved = number("failed"), number("moved")
	for _, name := range sched.CauseNames() {
		en.byCause = append(en.byCause, number(name+"_ms"))
	}
	return en, first
}

// verdict is how a job did by its aim.
type verdict int

const (
	inTime verdict = iota
	late
	tooLate
	verdicts
)

var verdictNames = [verdicts]string{"in time", "late", "too late"}

// judge returns how a job did; one that is not over counts by its age so far.
func (en *entry) judge() verdict {
	switch {
	case en.ageMS <= en.aimMS && en.over:
		return inTime
	case en.ageMS <= lateMost*en.aimMS:
		return late
	}
	return tooLate
}

// Row is the time of the jobs of one queue that did alike.
type Row struct {
	// Queue and Verdict say which.
	Queue   string
	Verdict string
	// Jobs counts them, Open those of them that are not over.
	Jobs, Open int
	// Failed and Moved count attempts.
	Failed, Moved int64
	// MeanMS is their mean age, Shares the share of each cause in their time.
	MeanMS int64
	Shares []float64
}

// Rows returns the book by queue and verdict. Cancelled jobs do not count.
func (ag *Aggregator) Rows() []Row {
	type group struct {
		queue string
		ve    verdict
	}
	sums := map[group]*Row{}
	times := map[group][]int64{}
	for _, en := range ag.jobs {
		if en.state == "cancelled" {
			continue
		}
		gr := group{en.queue, en.judge()}
		ro := sums[gr]
		if ro == nil {
			ro = &Row{Queue: gr.queue, Verdict: verdictNames[gr.ve]}
			sums[gr], times[gr] = ro, make([]int64, len(en.byCause))
		}
		ro.add(en, times[gr])
	}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b group) int {
		return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.ve, b.ve))
	})
	rows := make([]Row, 0, len(keys))
	for _, gr := range keys {
		rows = append(rows, sums[gr].finish(times[gr]))
	}
	return rows
}

// add adds a job to the sums.
func (ro *Row) add(en entry, times []int64) {
	ro.Jobs++
	if !en.over {
		ro.Open++
	}
	ro.Failed += en.failed
	ro.Moved += en.moved
	ro.MeanMS += en.ageMS
	for i, ms := range en.byCause {
		times[i] += ms
	}
}

// finish turns the sums into means and shares.
func (ro *Row) finish(times []int64) Row {
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
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t", ro.Queue, ro.Verdict, ro.Jobs, ro.Open, ro.MeanMS, ro.Failed, ro.Moved)
		for _, sh := range ro.Shares {
			_, _ = fmt.Fprintf(tw, "%.3f\t", sh)
		}
		_, _ = fmt.Fprintln(tw)
	}
	return tw.Flush()
}
