package fielddoc

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strconv"
	"strings"
)

// Render returns one Markdown section with a table of fields per struct of a Go
// file, in the order of the file. The range column is empty for a field without
// a min tag.
func Render(path string) (string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	for _, decl := range file.Decls {
		group, ok := decl.(*ast.GenDecl)
		if !ok || group.Tok != token.TYPE {
			continue
		}
		for _, spec := range group.Specs {
			if t, ok := spec.(*ast.TypeSpec); ok {
				renderStruct(&out, t, group.Doc)
			}
		}
	}
	return out.String(), nil
}

func renderStruct(out *strings.Builder, t *ast.TypeSpec, doc *ast.CommentGroup) {
	st, ok := t.Type.(*ast.StructType)
	if !ok {
		return
	}
	fmt.Fprintf(out, "### %s\n\n%s\n\n| key | type | default | range | meaning |\n|---|---|---|---|---|\n", t.Name.Name, oneLine(doc))
	for _, field := range st.Fields.List {
		renderField(out, field)
	}
	out.WriteString("\n")
}

// renderField writes the table row of a field. An embedded struct gets a row that
// refers to its keys.
func renderField(out *strings.Builder, field *ast.Field) {
	if len(field.Names) == 0 {
		fmt.Fprintf(out, "| (keys of %s) | | | | |\n", typeName(field.Type))
		return
	}
	text, _ := strconv.Unquote(field.Tag.Value)
	tag := reflect.StructTag(text)
	key, _, _ := strings.Cut(tag.Get("json"), ",")
	limits, fallback := "", tag.Get("default")
	if low, ok := tag.Lookup("min"); ok {
		limits = low + " to " + tag.Get("max")
		if unit := tag.Get("unit"); unit != "" {
			limits += " " + unit
		}
	}
	fmt.Fprintf(out, "| `%s` | %s | %s | %s | %s |\n", key, typeName(field.Type), fallback, limits, oneLine(field.Doc))
}

// oneLine returns the text of a comment on one line, escaped for a table cell.
func oneLine(doc *ast.CommentGroup) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(doc.Text()), " "), "|", "\\|")
}

// typeName describes the type of a field in the words of the documentation.
func typeName(e ast.Expr) string {
	switch t := e.(type) {
	case *ast.StarExpr:
		return typeName(t.X)
	case *ast.ArrayType:
		return "array of " + typeName(t.Elt)
	case *ast.MapType:
		return "object of " + typeName(t.Value)
	case *ast.Ident:
		return t.Name
	}
	return "value"
}
