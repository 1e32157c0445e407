// Command standin2 plays the cases of the second review: it starts the program as separate
// processes on loopback addresses, with stand-ins for the platform's store, the runners and the
// clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(bd *bed, trouble bool) (verdict, error){
	"restarts": caseRestarts,
	"pending":  casePending,
	"late":     caseLate,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD TROUBLE, where a TROUBLE of 0 leaves the disruption out")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3] != "0"))
}

func play(name, record string, trouble bool) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec := &recorder{out: out, start: time.Now()}
	rec.logf("case %s, disruption: %t", name, trouble)
	bd, err := newBed(rec, dir)
	if err != nil {
		rec.logf("not run: %v", err)
		return exitNotRun
	}
	ve, err := cases[name](bd, trouble)
	bd.close()
	switch {
	case err != nil:
		rec.logf("not run: %v; logs of the machines are in %s", err, dir)
		return exitNotRun
	case ve.broken:
		rec.logf("BROKEN: %s", ve.text)
		fmt.Fprintln(os.Stderr, "broken:", ve.text)
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(dir)
		}
		return exitBroken
	}
	rec.logf("held: %s", ve.text)
	fmt.Fprintln(os.Stderr, "held:", ve.text)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(dir)
	}
	return exitHeld
}
