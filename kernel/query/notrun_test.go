package query_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestOnlyDeriveOutcomeProducesNotRun checks the source of the whole project: other code
// may compare an outcome with NotRun, but only deriveOutcome may produce the value.
func TestOnlyDeriveOutcomeProducesNotRun(t *testing.T) {
	files := 0
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		inQuery := filepath.Base(filepath.Dir(path)) == "query"
		for _, fault := range notRunFaults(t, path, nil, inQuery) {
			t.Error(fault)
		}
		return nil
	})
	if err != nil || files == 0 {
		t.Fatalf("%d files: %v", files, err)
	}
}

// TestNotRunCheckFindsFaults checks that notRunFaults finds each way to produce NotRun
// and no comparison.
func TestNotRunCheckFindsFaults(t *testing.T) {
	src := `package x
func f(a query.Answer) query.Answer {
	if a.Outcome == query.NotRun { return a }
	switch a.Outcome { case query.NotRun: return a }
	a.Outcome = query.NotRun
	a.Outcome = "not_run"
	b := query.Outcome("not_run")
	return query.Answer{Outcome: query.NotRun}
}`
	if got := len(notRunFaults(t, "x.go", src, false)); got != 4 {
		t.Fatalf("found %d faults, want 4", got)
	}
	inside := `package query
func deriveOutcome() Outcome { return NotRun }
func other() Outcome { return NotRun }`
	if got := len(notRunFaults(t, "x.go", inside, true)); got != 1 {
		t.Fatalf("found %d faults, want 1", got)
	}
}

// notRunFaults lists the places of a source file that may produce the value NotRun.
// inQuery says that the file is of the query package.
func notRunFaults(t *testing.T, path string, src any, inQuery bool) []string {
	t.Helper()
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, src, 0)
	if err != nil {
		t.Fatal(err)
	}
	var faults []string
	for _, decl := range file.Decls {
		if fn, ok := decl.(*ast.FuncDecl); ok && inQuery && fn.Name.Name == "deriveOutcome" && fn.Recv == nil {
			continue
		}
		if gen, ok := decl.(*ast.GenDecl); ok && gen.Tok == token.CONST {
			continue
		}
		ast.Inspect(decl, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.BinaryExpr:
				if n.Op == token.EQL || n.Op == token.NEQ {
					return false
				}
			case *ast.CaseClause:
				for _, stmt := range n.Body {
					faults = append(faults, notRunUses(fset, stmt, inQuery)...)
				}
				return false
			}
			faults = append(faults, notRunUse(fset, n, inQuery)...)
			return true
		})
	}
	return faults
}

// notRunUses lists the places below a node that may produce NotRun.
func notRunUses(fset *token.FileSet, root ast.Node, inQuery bool) []string {
	var faults []string
	ast.Inspect(root, func(n ast.Node) bool {
		if b, ok := n.(*ast.BinaryExpr); ok && (b.Op == token.EQL || b.Op == token.NEQ) {
			return false
		}
		faults = append(faults, notRunUse(fset, n, inQuery)...)
		return true
	})
	return faults
}

// notRunUse reports the position of a node that is the value NotRun of the query package,
// or that uses its text as an outcome.
func notRunUse(fset *token.FileSet, n ast.Node, inQuery bool) []string {
	fault := func() []string { return []string{fset.Position(n.Pos()).String() + ": produces NotRun"} }
	switch n := n.(type) {
	case *ast.SelectorExpr:
		if x, ok := n.X.(*ast.Ident); ok && x.Name == "query" && n.Sel.Name == "NotRun" {
			return fault()
		}
	case *ast.Ident:
		if inQuery && n.Name == "NotRun" {
			return fault()
		}
	case *ast.AssignStmt:
		for i, lhs := range n.Lhs {
			if sel, ok := lhs.(*ast.SelectorExpr); ok && sel.Sel.Name == "Outcome" && i < len(n.Rhs) && isNotRunText(n.Rhs[i]) {
				return fault()
			}
		}
	case *ast.CallExpr:
		if sel, ok := n.Fun.(*ast.SelectorExpr); ok && sel.Sel.Name == "Outcome" && len(n.Args) == 1 && isNotRunText(n.Args[0]) {
			return fault()
		}
	}
	return nil
}

// isNotRunText reports whether an expression is the string literal of the outcome.
func isNotRunText(e ast.Expr) bool {
	lit, ok := e.(*ast.BasicLit)
	return ok && lit.Value == `"not_run"`
}
