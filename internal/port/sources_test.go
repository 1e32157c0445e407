package port

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// unbounded are what serves clients or reads a whole stream without the limits of this package and of
// wire.ReadAll, as they appear in the sources.
var unbounded = map[string]bool{
	"http.Server": true, "http.Serve": true, "http.ListenAndServe": true, "httptest.NewServer": true,
	"io.ReadAll": true, "io.Copy": true, "json.NewDecoder": true,
}

// otherwiseBounded are the functions that use one of them, by how they are bounded.
var otherwiseBounded = map[string]string{
	"internal/port/port.go:Listen":          "makes the servers of all programs",
	"internal/relay/server.go:read":         "bounds frames by a wire.FrameReader",
	"internal/relay/stream.go:read":         "bounds frames by a wire.FrameReader",
	"internal/runner/client.go:openSession": "bounds events by a wire.FrameReader",
}

// TestServersAndReadsAreBounded guards against servers without the limits of this package, and against
// whole reads of what others send.
func TestServersAndReadsAreBounded(t *testing.T) {
	const root = "../.."
	used := map[string]bool{}
	for _, dir := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			name, rerr := filepath.Rel(root, path)
			qt.Assert(t, rerr, qt.IsNil)
			name = filepath.ToSlash(name)
			standIn := strings.HasPrefix(name, "internal/standin") || strings.HasPrefix(name, "platform/platformtest")
			if err != nil || standIn || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return err
			}
			fset := token.NewFileSet()
			file, err := parser.ParseFile(fset, path, nil, 0)
			qt.Assert(t, err, qt.IsNil)
			for _, decl := range file.Decls {
				fn, ok := decl.(*ast.FuncDecl)
				if !ok {
					continue
				}
				for _, what := range unboundedIn(fn) {
					place := name + ":" + fn.Name.Name
					used[place] = true
					_, excepted := otherwiseBounded[place]
					qt.Check(t, excepted, qt.IsTrue, qt.Commentf("%s: %s uses %s", fset.Position(fn.Pos()), fn.Name.Name, what))
				}
			}
			return nil
		})
		qt.Assert(t, err, qt.IsNil)
	}
	for place := range otherwiseBounded {
		qt.Check(t, used[place], qt.IsTrue, qt.Commentf("%s is excepted and uses nothing", place))
	}
}

// unboundedIn returns what fn calls or makes of unbounded.
func unboundedIn(fn *ast.FuncDecl) []string {
	var found []string
	ast.Inspect(fn, func(node ast.Node) bool {
		var used ast.Expr
		switch no := node.(type) {
		case *ast.CallExpr:
			used = no.Fun
		case *ast.CompositeLit:
			used = no.Type
		}
		sel, ok := used.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := sel.X.(*ast.Ident); ok && unbounded[pkg.Name+"."+sel.Sel.Name] {
			found = append(found, pkg.Name+"."+sel.Sel.Name)
		}
		return true
	})
	return found
}
