package kernel_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// forbiddenImports reach outside the process or hold hidden state.
var forbiddenImports = []string{"net", "net/http", "os", "os/exec", "syscall", "io/ioutil", "log", "math/rand", "crypto/rand", "sync", "sync/atomic"}

// forbiddenCalls read the clock or wait for it.
var forbiddenCalls = map[string]bool{"Now": true, "Since": true, "Until": true, "After": true, "AfterFunc": true, "Sleep": true, "NewTimer": true, "NewTicker": true, "Tick": true}

// globalRandom are functions of math/rand/v2 that use the global source.
var globalRandom = map[string]bool{"Int": true, "IntN": true, "Int64": true, "Int64N": true, "Uint64": true, "Uint64N": true, "Uint32": true, "Float64": true, "Perm": true, "Shuffle": true, "N": true, "ExpFloat64": true, "NormFloat64": true, "UintN": true, "Uint32N": true, "Int32N": true, "Int32": true}

// TestKernelIsPure checks that the kernel and the plug-ins do no I/O, read no
// clock, use no global random source and start no goroutine.
func TestKernelIsPure(t *testing.T) {
	for _, root := range []string{".", "../plugins"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			for _, fault := range impurities(t, path, nil) {
				t.Error(fault)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestPurityCheckFindsFaults shows that the check can fail.
func TestPurityCheckFindsFaults(t *testing.T) {
	src := `package x
import ("time"; "net"; "math/rand/v2")
var _ net.Addr
func f() { _ = time.Now(); go f(); _ = rand.IntN(3) }`
	if got := len(impurities(t, "x.go", src)); got != 4 {
		t.Fatalf("found %d faults, want 4", got)
	}
}

// impurities lists the faults of one file.
func impurities(t *testing.T, path string, src any) []string {
	t.Helper()
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, src, 0)
	if err != nil {
		t.Fatal(err)
	}
	var faults []string
	for _, imp := range file.Imports {
		name, _ := strconv.Unquote(imp.Path.Value)
		for _, bad := range forbiddenImports {
			if name == bad {
				faults = append(faults, path+": imports "+name)
			}
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			faults = append(faults, fset.Position(n.Pos()).String()+": starts a goroutine")
		case *ast.SelectorExpr:
			pkg, ok := n.X.(*ast.Ident)
			if ok && pkg.Name == "time" && forbiddenCalls[n.Sel.Name] {
				faults = append(faults, fset.Position(n.Pos()).String()+": uses time."+n.Sel.Name)
			}
			if ok && pkg.Name == "rand" && globalRandom[n.Sel.Name] {
				faults = append(faults, fset.Position(n.Pos()).String()+": uses the global random source")
			}
		}
		return true
	})
	return faults
}
