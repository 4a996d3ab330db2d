package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestTypesListEveryEventOnce(t *testing.T) {
	got := map[string]int{}
	for _, ev := range append(ExternalTypes(), RaisedTypes()...) {
		got[reflect.TypeOf(ev).Name()]++
	}
	if diff := cmp.Diff(declaredEvents(t), got); diff != "" {
		t.Errorf("event types (-declared +listed):\n%s", diff)
	}
}

func declaredEvents(t *testing.T) map[string]int {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]int{}
	for _, f := range files {
		tree, err := parser.ParseFile(token.NewFileSet(), f, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range tree.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if ok && fn.Name.Name == "isEvent" && fn.Recv != nil {
				names[fn.Recv.List[0].Type.(*ast.Ident).Name] = 1
			}
		}
	}
	return names
}
