package timelimit_test

import (
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/timelimit"
	"github.com/pepperhatch/pepperhatch/internal/transport"
	"github.com/pepperhatch/pepperhatch/internal/wire"
	"github.com/pepperhatch/pepperhatch/platform"
)

// requestFuncs are the functions that create or send HTTP requests.
var requestFuncs = map[string]bool{
	"http.NewRequest": true, "http.NewRequestWithContext": true, "http.Get": true, "http.Head": true, "http.Post": true, "http.PostForm": true,
	"RoundTrip": true,
}

// otherwiseLimited are the functions whose requests are limited in another way, by how.
var otherwiseLimited = map[string]string{
	"internal/relay/stream.go:run":                  "a stream: its watchdog limits the opening and the time between frames",
	"internal/runner/client.go:newRequest":          "its callers send the request",
	"internal/runner/client.go:openSession":         "a stream: the opening is limited, its end is the caller's",
	"internal/transport/transport.go:roundTripOnce": "sends the request of a client, with its context",
	"internal/standin/proxy.go:RoundTrip":           "a stand-in",
}

// TestRequestsHaveTimeLimit guards against calls that wait for ever for a peer that keeps the
// connection open and doesn't answer.
func TestRequestsHaveTimeLimit(t *testing.T) {
	const root = "../.."
	found := 0
	for _, dir := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			name, err := filepath.Rel(root, path)
			qt.Assert(t, err, qt.IsNil)
			fset := token.NewFileSet()
			file, err := parser.ParseFile(fset, path, nil, 0)
			qt.Assert(t, err, qt.IsNil)
			for _, decl := range file.Decls {
				fn, ok := decl.(*ast.FuncDecl)
				if !ok {
					continue
				}
				sends, limited := calls(fn)
				if sends == "" {
					continue
				}
				found++
				_, excepted := otherwiseLimited[filepath.ToSlash(name)+":"+fn.Name.Name]
				qt.Check(t, limited || excepted, qt.IsTrue, qt.Commentf("%s: %s calls %s without timelimit.Apply", fset.Position(fn.Pos()), fn.Name.Name, sends))
			}
			return nil
		})
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, found >= 5, qt.IsTrue, qt.Commentf("found only %d functions that send requests", found))
}

// calls returns a request function that fn calls, if any, and whether fn calls timelimit.Apply.
func calls(fn *ast.FuncDecl) (sends string, limited bool) {
	ast.Inspect(fn, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		sel, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		name := sel.Sel.Name
		pkg, ok := sel.X.(*ast.Ident)
		if ok && requestFuncs[pkg.Name+"."+name] || requestFuncs[name] {
			sends = name
		}
		limited = limited || ok && pkg.Name+"."+name == "timelimit.Apply"
		return true
	})
	return sends, limited
}

// TestCallsWithoutDeadlineEnd guards against calls that wait for ever, by what the peer does.
func TestCallsWithoutDeadlineEnd(t *testing.T) {
	peers := map[string]func(w http.ResponseWriter, ended <-chan struct{}){
		"no answer": func(_ http.ResponseWriter, ended <-chan struct{}) { <-ended },
		"body without end": func(w http.ResponseWriter, ended <-chan struct{}) {
			_, _ = w.Write([]byte(`{"rows":[`))
			_ = http.NewResponseController(w).Flush()
			<-ended
		},
	}
	for name, handler := range peers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			over := make(chan struct{})
			hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { handler(w, over) }))
			t.Cleanup(hs.Close)
			t.Cleanup(func() { close(over) })
			hc := transport.NewClient(1, nil)
			table := platform.NewTable(platform.Client{HTTP: hc, StoreAddrFunc: hs.Listener.Addr().String})
			ended := make(chan error, 2)
			go func() {
				_, err := table.ReadFunc(context.Background(), store.ReadRequest{Keys: []string{"a/b/c"}})
				ended <- err
			}()
			go func() {
				_, err := wire.Post[string, string](context.Background(), hc, hs.URL, "message")
				ended <- err
			}()
			for range 2 {
				select {
				case err := <-ended:
					qt.Check(t, err, qt.IsNotNil)
				case <-time.After(2 * timelimit.Default):
					t.Fatal("the call has not ended")
				}
			}
		})
	}
}

// TestTimeLimitKeepsDeadline guards against limits that cut off calls which may take longer.
func TestTimeLimitKeepsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, deadline := range []time.Duration{time.Millisecond, time.Minute} {
			want := time.Now().Add(deadline)
			outer, cancelOuter := context.WithDeadline(t.Context(), want)
			ctx, cancel := timelimit.Apply(outer)
			got, ok := ctx.Deadline()
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, got, qt.Equals, want)
			cancel()
			cancelOuter()
		}
	})
}
