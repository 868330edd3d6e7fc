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

var update = flag.Bool("update", false, "write docs/errors.md anew")

const (
	top  = "../.."
	page = top + "/docs/errors.md"
)

// seen is what a source says of one type.
type seen struct {
	says    string // first sentence of its comment
	kind    string
	methods map[string]bool
}

// walk takes a source apart: its types by name, and where it makes an error of mere text.
func walk(files *token.FileSet, name string, src any, types map[string]*seen) (bare []string, err error) {
	f, err := parser.ParseFile(files, name, src, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	of := func(t string) *seen {
		key := f.Name.Name + "." + t
		if f.Name.Name == "main" { // of the programs there are several
			key = filepath.Base(filepath.Dir(name)) + "." + t
		}
		if types[key] == nil {
			types[key] = &seen{methods: map[string]bool{}}
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
					of(t.Name.Name).says = strings.TrimSuffix(sentence, ".")
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
					bare = append(bare, files.Position(n.Pos()).String())
				}
			}
		}
		return true
	})
	return bare, nil
}

// faults lists the error types that lack something.
func faults(types map[string]*seen) (bad []string) {
	for name, s := range types {
		switch {
		case !s.methods["Error"] || name == "remedy.Error":
		case !s.methods["Remedy"] || !s.methods["Kind"]:
			bad = append(bad, name+": no Remedy or no Kind")
		case s.says == "":
			bad = append(bad, name+": no comment")
		case s.kind == "":
			bad = append(bad, name+": Kind is more than a word")
		}
	}
	slices.Sort(bad)
	return bad
}

func sources(t *testing.T) (types map[string]*seen, bare []string) {
	types = map[string]*seen{}
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
		more, err := walk(files, path, nil, types)
		bare = append(bare, more...)
		return err
	}))
	require.Greater(t, n, 80, "the sources were found")
	return types, bare
}

func TestEveryErrorHasATypeAndARemedy(t *testing.T) {
	types, bare := sources(t)
	assert.Empty(t, bare, "an error of mere text: give it a type of its package")
	assert.Empty(t, faults(types))
}

func TestAnErrorWithoutARemedyIsFound(t *testing.T) {
	types := map[string]*seen{}
	bare, err := walk(token.NewFileSet(), "x.go", `package x
// PlantedError is planted.
type PlantedError struct{}
func (PlantedError) Error() string { return fmt.Errorf("x").Error() }`, types)
	require.NoError(t, err)
	assert.Equal(t, []string{"x.PlantedError: no Remedy or no Kind"}, faults(types))
	assert.Len(t, bare, 1)
}

func TestThePageListsEveryError(t *testing.T) {
	types, _ := sources(t)
	var rows []string
	for name, s := range types {
		if s.methods["Error"] && s.methods["Remedy"] {
			_, says, _ := strings.Cut(s.says, " is ")
			rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |", name, s.kind, says))
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
	assert.Equal(t, rows, strings.Split(strings.TrimSpace(text[i:]), "\n"), "go test ./internal/remedy -run Page -update writes it anew")
}
