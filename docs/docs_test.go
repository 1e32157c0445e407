// Package docs holds the pages to the code: the tables in OPERATIONS.md are
// made from the tables in the code.
package docs

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/settings"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

var update = flag.Bool("update", false, "write the tables of OPERATIONS.md anew")

const page = "OPERATIONS.md"

// table returns a Markdown table.
func table(head string, rows []string) string {
	bar := strings.Repeat("|---", strings.Count(head, "|")-1) + "|"
	return strings.Join(append([]string{head, bar}, rows...), "\n")
}

func settingsTable() string {
	var rows []string
	for _, fi := range reflect.VisibleFields(reflect.TypeFor[settings.Serve]()) {
		if fi.Anonymous {
			continue
		}
		tag := fi.Tag
		rows = append(rows, fmt.Sprintf("| `--%s` | `%s` | %s | %s |", tag.Get("long"), tag.Get("env"), tag.Get("default"), tag.Get("description")))
	}
	return table("| flag | variable | default | meaning |", rows)
}

func keysTable() string {
	var rows []string
	for _, ke := range config.Keys {
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |", ke.Name, ke.Default, ke.Meaning))
	}
	return table("| key | default | meaning |", rows)
}

func mechanismsTable() string {
	var rows []string
	for _, en := range sched.Mechanisms {
		rows = append(rows, fmt.Sprintf("| `%s` | %s |", en.Name, en.Meaning))
	}
	return table("| mechanism | what it does |", rows)
}

func metricsTable() string {
	var rows []string
	for _, en := range telemetry.Counters {
		rows = append(rows, fmt.Sprintf("| `%s_total` | %s | %s | %s |", en.Name, en.Labels, en.Meaning, en.Action))
	}
	for _, en := range slices.Concat(telemetry.Gauges, telemetry.Histograms) {
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s | %s |", en.Name, en.Labels, en.Meaning, en.Action))
	}
	return table("| metric | labels | counts | what to do |", rows)
}

func reasonsTable(entries []reason.Entry) string {
	var rows []string
	for _, en := range entries {
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |", en.Reason, en.Meaning, en.Action))
	}
	return table("| reason | means | what to do |", rows)
}

// TestOperatingPage compares each table of the page with the code's.
func TestOperatingPage(t *testing.T) {
	data, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	text := string(data)
	for _, se := range []struct{ name, want string }{
		{"settings", settingsTable()},
		{"keys", keysTable()},
		{"metrics", metricsTable()},
		{"mechanisms", mechanismsTable()},
		{"refusals", reasonsTable(reason.Refusals)},
		{"retries", reasonsTable(reason.Retries)},
	} {
		mark := "<!-- " + se.name + " -->\n"
		_, after, found := strings.Cut(text, mark)
		qt.Assert(t, found, qt.IsTrue, qt.Commentf("no section %s", se.name))
		have, _, found := strings.Cut(after, "<!-- end -->")
		qt.Assert(t, found, qt.IsTrue)
		if *update {
			text = strings.Replace(text, mark+have, mark+se.want+"\n", 1)
			continue
		}
		qt.Check(t, strings.TrimSpace(have), qt.Equals, se.want)
	}
	if *update {
		qt.Assert(t, os.WriteFile(page, []byte(text), 0o600), qt.IsNil)
	}
}
