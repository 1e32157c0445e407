package lab

import (
	"flag"
	"os"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/standin"
)

var (
	experiment = flag.Bool("lab", false, "play the experiment and print its table")
	seeds      = flag.Int("lab.seeds", 4, "days of each variant")
	mixFile    = flag.String("lab.mix", "", "JSON file of the mix; the usual mix if empty")
	without    = flag.String("lab.without", "", "mechanisms to switch off one by one, separated by commas, or all")
)

// playIn plays a day in virtual time.
func playIn(t *testing.T, mi Mix, seed uint64, va Variant) Result {
	t.Helper()
	var re Result
	synctest.Test(t, func(t *testing.T) {
		var err error
		re, err = Play(t.Context(), mi, seed, va)
		qt.Assert(t, err, qt.IsNil)
		// What still runs ends with the context; its timers must have fired.
		synctest.Wait()
	})
	return re
}

// small is a mix that is played fast.
func small() Mix {
	mi := Usual()
	mi.Seconds, mi.Workers, mi.Services.Jobs = 8, 10, 8
	mi.Fillers.PerSecond, mi.Short.PerSecond = 1.5, 1
	return mi
}

func TestPlay(t *testing.T) {
	mi := small()
	usual := playIn(t, mi, 1, Variant{Name: "real"})
	t.Run("all is accounted for", func(t *testing.T) {
		for _, cl := range []Class{usual.Fillers, usual.Short} {
			qt.Assert(t, cl.Jobs > 0, qt.IsTrue)
			qt.Assert(t, cl.InTime+cl.Late+cl.Lost, qt.Equals, cl.Jobs)
			qt.Assert(t, int(cl.Taken.TotalCount()) >= cl.InTime+cl.Late, qt.IsTrue)
		}
		qt.Assert(t, usual.Worth() > 0.3 && usual.Worth() <= 1, qt.IsTrue, qt.Commentf("worth %.3f", usual.Worth()))
	})
	t.Run("where nothing disturbs nothing is over its target by fillers", func(t *testing.T) {
		free := playIn(t, mi, 1, Variant{Undisturbed: true})
		qt.Assert(t, free.OverByFillers, qt.Equals, 0*free.Served)
		qt.Assert(t, free.Served > 0, qt.IsTrue)
	})
	t.Run("fillers that nobody slows disturb", func(t *testing.T) {
		rough := playIn(t, mi, 1, Variant{Without: sched.MechPace | sched.MechHold | sched.MechFillerWait | sched.MechMove})
		qt.Assert(t, rough.OverByFillers > usual.OverByFillers, qt.IsTrue, qt.Commentf("%v, usual %v", rough.OverByFillers, usual.OverByFillers))
	})
}

// TestDayWithRestarts has a third of the workers restart again and again: nothing runs twice, and services run all the same.
func TestDayWithRestarts(t *testing.T) {
	mi := small()
	mi.Restarts = Restarts{EveryS: 5, Share: 0.3, AwayMS: 1000}
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			pl := newPlay(mi, seed+1, Variant{Name: "real"})
			re, err := pl.run(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, standin.RunViolations(pl.fleet.Runs()), qt.HasLen, 0)
			qt.Check(t, re.Worth() > 0.3, qt.IsTrue, qt.Commentf("worth %.3f", re.Worth()))
			synctest.Wait()
		})
	}
}

func TestDrawDay(t *testing.T) {
	a, b, other := drawDay(Usual(), 7), drawDay(Usual(), 7), drawDay(Usual(), 8)
	qt.Assert(t, a.drops, qt.DeepEquals, b.drops)
	qt.Assert(t, len(a.jobs), qt.Equals, len(b.jobs))
	qt.Assert(t, a.jobs[9].spec, qt.DeepEquals, b.jobs[9].spec)
	qt.Assert(t, a.drops, qt.Not(qt.DeepEquals), other.drops)
	for _, dr := range a.jobs {
		qt.Assert(t, dr.spec.Check(), qt.IsNil)
	}
}

// variants are the bounds, and the real policy without what the flag names.
func variants(t *testing.T) []Variant {
	t.Helper()
	list := append([]Variant(nil), Bounds...)
	for _, en := range sched.Mechanisms {
		if *without == "all" || strings.Contains(","+*without+",", ","+en.Name+",") {
			list = append(list, Variant{Name: "without " + en.Name, Without: en.Mechanism})
		}
	}
	return list
}

// TestExperiment prints a table; it needs the flag, as it takes minutes.
func TestExperiment(t *testing.T) {
	if !*experiment {
		return
	}
	mi := Usual()
	if *mixFile != "" {
		var err error
		mi, err = ReadMix(*mixFile)
		qt.Assert(t, err, qt.IsNil)
	}
	var rows []Row
	for _, va := range variants(t) {
		rows = append(rows, Row{Variant: va, Results: make([]Result, *seeds)})
	}
	t.Run("days", func(t *testing.T) {
		for i := range rows {
			for seed := range *seeds {
				t.Run(rows[i].Variant.Name, func(t *testing.T) {
					t.Parallel()
					rows[i].Results[seed] = playIn(t, mi, uint64(seed)+1, rows[i].Variant)
				})
			}
		}
	})
	qt.Assert(t, Print(os.Stdout, mi, rows), qt.IsNil)
}
