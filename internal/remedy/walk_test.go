package remedy

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite docs/errors.md")

const (
	top  = "../.."
	page = top + "/docs/errors.md"
)

// typeInfo is what the source declares about one type.
type typeInfo struct {
	summary string // first sentence of the doc comment
	kind    string
	methods map[string]bool
}

// inspect parses a source file, adds its types by name, and returns the positions where it creates an untyped error.
func inspect(files *token.FileSet, name string, src any, types map[string]*typeInfo) (untyped []string, err error) {
	f, err := parser.ParseFile(files, name, src, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	of := func(t string) *typeInfo {
		key := f.Name.Name + "." + t
		if f.Name.Name == "main" { // there are several main packages
			key = filepath.Base(filepath.Dir(name)) + "." + t
		}
		if types[key] == nil {
			types[key] = &typeInfo{methods: map[string]bool{}}
		}
		return types[key]
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GenDecl:
			for _, s := range n.Specs {
				if t, ok := s.(*ast.TypeSpec); ok {
					text := n.Doc.Text()
					if t.Doc != nil {
						text = t.Doc.Text()
					}
					sentence, _, _ := strings.Cut(strings.Join(strings.Fields(text), " "), ". ")
					of(t.Name.Name).summary = strings.TrimSuffix(sentence, ".")
				}
			}
		case *ast.FuncDecl:
			if n.Recv == nil {
				return true
			}
			r := n.Recv.List[0].Type
			if p, ok := r.(*ast.StarExpr); ok {
				r = p.X
			}
			id, ok := r.(*ast.Ident)
			if !ok {
				return true
			}
			of(id.Name).methods[n.Name.Name] = true
			if n.Name.Name == "Kind" && len(n.Body.List) == 1 {
				if ret, ok := n.Body.List[0].(*ast.ReturnStmt); ok {
					if sel, ok := ret.Results[0].(*ast.SelectorExpr); ok {
						of(id.Name).kind = strings.ToLower(sel.Sel.Name)
					}
				}
			}
		case *ast.CallExpr:
			if sel, ok := n.Fun.(*ast.SelectorExpr); ok {
				if pkg, ok := sel.X.(*ast.Ident); ok && (pkg.Name == "errors" && sel.Sel.Name == "New" || pkg.Name == "fmt" && sel.Sel.Name == "Errorf") {
					untyped = append(untyped, files.Position(n.Pos()).String())
				}
			}
		}
		return true
	})
	return untyped, nil
}

// incomplete lists the error types that lack a method or a comment.
func incomplete(types map[string]*typeInfo) (bad []string) {
	for name, s := range types {
		switch {
		case !s.methods["Error"] || name == "remedy.Error":
		case !s.methods["Remedy"] || !s.methods["Kind"]:
			bad = append(bad, name+": no Remedy or no Kind")
		case s.summary == "":
			bad = append(bad, name+": no comment")
		case s.kind == "":
			bad = append(bad, name+": Kind does not return a constant")
		}
	}
	slices.Sort(bad)
	return bad
}

func sources(t *testing.T) (types map[string]*typeInfo, untyped []string) {
	types = map[string]*typeInfo{}
	files := token.NewFileSet()
	n := 0
	require.NoError(t, filepath.WalkDir(top, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() && strings.HasPrefix(e.Name(), ".") && e.Name() != ".." || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			if err == nil && e.IsDir() && strings.HasPrefix(e.Name(), ".") && path != top {
				return fs.SkipDir
			}
			return err
		}
		n++
		more, err := inspect(files, path, nil, types)
		untyped = append(untyped, more...)
		return err
	}))
	require.Greater(t, n, 80, "too few source files found")
	return types, untyped
}

func TestEveryErrorHasATypeAndARemedy(t *testing.T) {
	types, untyped := sources(t)
	assert.Empty(t, untyped, "untyped error: define an error type in its package")
	assert.Empty(t, incomplete(types))
}

func TestAnErrorWithoutARemedyIsFound(t *testing.T) {
	types := map[string]*typeInfo{}
	untyped, err := inspect(token.NewFileSet(), "x.go", `package x
// PlantedError is planted.
type PlantedError struct{}
func (PlantedError) Error() string { return fmt.Errorf("x").Error() }`, types)
	require.NoError(t, err)
	assert.Equal(t, []string{"x.PlantedError: no Remedy or no Kind"}, incomplete(types))
	assert.Len(t, untyped, 1)
}

func TestThePageListsEveryError(t *testing.T) {
	types, _ := sources(t)
	var rows []string
	for name, s := range types {
		if s.methods["Error"] && s.methods["Remedy"] {
			_, summary, _ := strings.Cut(s.summary, " is ")
			rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |", name, s.kind, summary))
		}
	}
	slices.Sort(rows)
	raw, err := os.ReadFile(page)
	require.NoError(t, err)
	text := string(raw)
	i := strings.Index(text, "| `")
	require.Positive(t, i)
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(text[:i]+strings.Join(rows, "\n")+"\n"), 0o644))
		return
	}
	assert.Equal(t, rows, strings.Split(strings.TrimSpace(text[i:]), "\n"), "go test ./internal/remedy -run Page -update rewrites it")
}
