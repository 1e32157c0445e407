package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// startServer starts an HTTP server that answers each path with a fixed body, and
// returns its address.
func startServer(t *testing.T, answers map[string]string) string {
	t.Helper()
	sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(answers[r.URL.Path]))
	}))
	t.Cleanup(sv.Close)
	return sv.Listener.Addr().String()
}

// writeJobFile writes a file with the text and returns its path.
func writeJobFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "job.json")
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func TestBatchCommands(t *testing.T) {
	good := writeJobFile(t, `{"steps":[{"tasks":1,"each":{"milli_cores":100}}]}`)
	for _, tc := range []struct {
		name       string
		answers    map[string]string
		args       []string
		code       int
		wantOutput string
	}{
		{"accepted", map[string]string{"/jobs/submit": `{"outcome":"accepted"}`}, []string{"submit", "--queue", "q", "--id", "00000000000000aa", good}, ExitOK, "00000000000000aa"},
		{"refused", map[string]string{"/jobs/submit": `{"outcome":"refused","reason":"store-away"}`}, []string{"submit", "--queue", "q", good}, ExitNotRun, "store-away"},
		{"unknown", map[string]string{"/jobs/submit": `{"outcome":"unknown"}`}, []string{"submit", "--queue", "q", good}, ExitUnknown, "unknown"},
		{"no file", nil, []string{"submit", "--queue", "q", good + "x"}, ExitUsage, "read job"},
		{"bad file", nil, []string{"submit", "--queue", "q", writeJobFile(t, "[]")}, ExitUsage, "decode job"},
		{"two errors", nil, []string{"submit", "--queue", "q", writeJobFile(t, `{"steps":[{"tasks":0,"after":[3]}]}`)}, ExitUsage, "waits for a step"},
		{"state", map[string]string{"/jobs/state": `{"state":"running"}`}, []string{"state", "00000000000000aa"}, ExitOK, "running"},
		{"watch", map[string]string{"/jobs/state": `{"state":"succeeded"}`}, []string{"state", "--watch", "00000000000000aa"}, ExitOK, "succeeded"},
		{"no job", map[string]string{"/jobs/state": `{}`}, []string{"state", "00000000000000aa"}, ExitFailed, "no job"},
		{"cancel", map[string]string{"/jobs/cancel": `{"outcome":"accepted"}`}, []string{"cancel", "00000000000000aa"}, ExitOK, "00000000000000aa"},
		{"list", map[string]string{"/jobs/list": `{"jobs":[{"id":"00000000000000aa","queue":"q","state":"running","tasks":3,"done":1,"running":2}]}`}, []string{"list"}, ExitOK, "1/3"},
		{"connection refused", nil, []string{"state", "--addr", "127.0.0.1:1", "00000000000000aa"}, ExitFailed, "refused"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Setenv("PEPPERHATCH_ENTRY", startServer(t, tc.answers))
			var out bytes.Buffer
			code := Main(append([]string{"batch"}, tc.args...), &out, &out)
			qt.Assert(t, code, qt.Equals, tc.code, qt.Commentf("%s", &out))
			qt.Assert(t, strings.Contains(out.String(), tc.wantOutput), qt.IsTrue, qt.Commentf("%s", &out))
		})
	}
}

func TestRunWithBadSettings(t *testing.T) {
	var out bytes.Buffer
	qt.Assert(t, Main([]string{"run", "--settings", writeJobFile(t, `{"ip":"x"}`)}, &out, &out), qt.Equals, ExitUsage)
	qt.Assert(t, strings.Contains(out.String(), "setting store_addr"), qt.IsTrue)
	qt.Assert(t, strings.Contains(out.String(), "setting ports"), qt.IsTrue)
}
