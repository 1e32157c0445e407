package jobhost

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/platform"
)

// invalidEntries are values that other writers may leave in lists.
var invalidEntries = map[string]string{
	"empty":           ``,
	"null":            `null`,
	"no text":         "\xff\xfe",
	"deeply nested":   strings.Repeat(`{"a":`, 10_000),
	"nested in field": `{"name":"h1","addr":` + strings.Repeat(`[`, 9000) + strings.Repeat(`]`, 9000) + `}`,
	"large number":    `{"name":"h1","addr":"10.0.0.1:80","cores":1e999,"version":12345678901234567890123456}`,
	"negative number": `{"name":"h1","addr":"10.0.0.1:80","cores":-1,"version":[]}`,
	"port 0":          `{"name":"h1","addr":"10.0.0.1:0","version":"x"}`,
	"port 99999":      `{"name":"h1","addr":"10.0.0.1:99999","version":{}}`,
	"port -1":         `{"name":"h1","addr":"10.0.0.1:-1","version":true}`,
	"no address":      `{"name":"h1","routes":7}`,
	"other name":      `{"name":"h2","addr":"10.0.0.1:80","routes":[7]}`,
}

// newListHost returns a host that reads lists, and its log.
func newListHost(t *testing.T) (*Host, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	ho, err := New(Settings{Name: "h0", IP: "127.0.0.1", Ports: []int{1, 9}}, slog.New(slog.NewTextHandler(&out, nil)))
	qt.Assert(t, err, qt.IsNil)
	return ho, &out
}

// TestInvalidEntryDoesNotRemoveHost guards against hosts that count as removed, or with another address,
// because their entry cannot be decoded.
func TestInvalidEntryDoesNotRemoveHost(t *testing.T) {
	row := func(name, value string, version int64) store.FeedRow {
		return store.FeedRow{Row: store.Row{Key: registry.Key(name), Value: []byte(value), Version: version}}
	}
	good := func(name string) string { return fmt.Sprintf(`{"name":%q,"process":"p","addr":"10.0.0.1:80"}`, name) }
	for name, value := range invalidEntries {
		t.Run(name, func(t *testing.T) {
			ho, out := newListHost(t)
			var listed []registry.Member
			handle := func(li []registry.Member, removed []string, _ bool) {
				listed = li
				qt.Check(t, removed, qt.HasLen, 0)
			}
			ho.onMembers([]store.FeedRow{row("h1", good("h1"), 1), row("h3", good("h3"), 2)}, true, handle)
			for range 20 {
				ho.onMembers([]store.FeedRow{row("h1", value, 3), row("h3", good("h3"), 2)}, true, handle)
				qt.Assert(t, listed, qt.HasLen, 2)
				qt.Check(t, listed[0].Addr, qt.Equals, "10.0.0.1:80")
				qt.Check(t, listed[0].Name, qt.Equals, "h1")
			}
			qt.Check(t, strings.Count(out.String(), "row cannot be decoded"), qt.Equals, 1)
		})
	}
}

// TestInvalidConfigurationKeepsLastOne guards against queues that are removed because a configuration
// cannot be decoded, and against one that is applied in part.
func TestInvalidConfigurationKeepsLastOne(t *testing.T) {
	row := func(value string, version int64) []store.FeedRow {
		return []store.FeedRow{{Row: store.Row{Key: platform.ConfigKey, Value: []byte(value), Version: version}}}
	}
	for name, value := range invalidEntries {
		t.Run(name, func(t *testing.T) {
			ho, out := newListHost(t)
			ho.onConfig(row(`{"version":4,"routes":[{"name":"q","host":"h","path-prefix":"/p/"}]}`, 1), true)
			for range 20 {
				ho.onConfig(row(value, 2), true)
				qt.Assert(t, ho.config.Load().Version, qt.Equals, int64(4))
			}
			qt.Check(t, strings.Count(out.String(), "row cannot be decoded") <= 1, qt.IsTrue)
			ho.onConfig(row(`{"version":5,"routes":[]}`, 3), true)
			qt.Check(t, ho.config.Load().Version, qt.Equals, int64(5))
		})
	}
}
