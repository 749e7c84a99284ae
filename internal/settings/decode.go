package settings

import (
	"encoding/json"
	"errors"
	"path/filepath"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"cactusspar/internal/findings"
)

// decoder fills a struct from a syntax tree. Every value of the file has a path
// such as "operator.listen.address", under which its offset is kept for the checks.
type decoder struct {
	file     string
	dir      string
	text     []byte
	findings findings.List
	offsets  map[string]int
	// failed holds the paths that are no object; their checks are skipped.
	failed map[string]bool
}

func (d *decoder) add(offset int, format string, args ...any) {
	if len(d.findings) >= maxFindings {
		return
	}
	before := d.text[:min(offset, len(d.text))]
	line := 1 + strings.Count(string(before), "\n")
	start := 1 + strings.LastIndexByte(string(before), '\n')
	d.findings.Add(d.file, line, 1+utf8.RuneCount(before[start:]), format, args...)
}

var (
	fileType        = reflect.TypeFor[File]()
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
)

// value decodes one value into target.
func (d *decoder) value(v hujson.Value, target reflect.Value, path string) {
	d.offsets[path] = v.StartOffset
	if target.Kind() == reflect.Pointer && !target.Type().Implements(unmarshalerType) {
		if isNull(v) {
			target.SetZero()
			return
		}
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		d.value(v, target.Elem(), path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.object(v, target, path)
	case reflect.Slice:
		d.array(v, target, path)
	case reflect.Map:
		d.table(v, target, path)
	default:
		d.literal(v, target)
	}
}

func (d *decoder) object(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.add(v.StartOffset, "expected an object")
		d.failed[path] = true
		return
	}
	fields := fieldsOf(target)
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := literalString(m.Name)
		field, known := fields[name]
		switch {
		case !known:
			d.add(m.Name.StartOffset, "unknown field %q: expected %s", name, strings.Join(names(fields), ", "))
		case seen[name]:
			d.add(m.Name.StartOffset, "field %q is given twice", name)
		default:
			d.value(m.Value, field, join(path, name))
		}
		seen[name] = true
	}
}

func (d *decoder) array(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.add(v.StartOffset, "expected a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, e := range array.Elements {
		d.value(e, list.Index(i), join(path, strconv.Itoa(i)))
	}
	target.Set(list)
}

func (d *decoder) table(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok || target.Type().Key().Kind() != reflect.String {
		d.add(v.StartOffset, "expected an object")
		return
	}
	table := reflect.MakeMapWithSize(target.Type(), len(object.Members))
	for _, m := range object.Members {
		name := literalString(m.Name)
		key := reflect.ValueOf(name).Convert(target.Type().Key())
		if table.MapIndex(key).IsValid() {
			d.add(m.Name.StartOffset, "field %q is given twice", name)
			continue
		}
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(m.Value, element, join(path, name))
		table.SetMapIndex(key, element)
	}
	target.Set(table)
}

func (d *decoder) literal(v hujson.Value, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || isNull(v) {
		d.add(v.StartOffset, "expected %s", expected(target.Type()))
		return
	}
	if err := json.Unmarshal(literal, target.Addr().Interface()); err != nil {
		var described *ValueError
		if errors.As(err, &described) {
			d.add(v.StartOffset, "%s: %s", string(literal), described.Text)
			return
		}
		d.add(v.StartOffset, "%s: expected %s", string(literal), expected(target.Type()))
		return
	}
	if target.Type() == fileType && target.String() != "" && !filepath.IsAbs(target.String()) {
		target.SetString(filepath.Join(d.dir, target.String()))
	}
}

// ValueError is returned by the UnmarshalJSON method of a settings type to say
// what it expected.
type ValueError struct{ Text string }

// Error returns the text.
func (e *ValueError) Error() string { return e.Text }

// fieldsOf returns the fields of a struct by their name in the file, those of
// embedded structs included.
func fieldsOf(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range target.NumField() {
		f := target.Type().Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "" && f.Type.Kind() == reflect.Struct:
			for n, inner := range fieldsOf(target.Field(i)) {
				fields[n] = inner
			}
		case name != "" && name != "-" && f.IsExported():
			fields[name] = target.Field(i)
		}
	}
	return fields
}

func names(fields map[string]reflect.Value) []string {
	var list []string
	for n := range fields {
		list = append(list, n)
	}
	sort.Strings(list)
	return list
}

func expected(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number that is not negative"
	case reflect.Float32, reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

func isNull(v hujson.Value) bool {
	l, ok := v.Value.(hujson.Literal)
	return ok && l.Kind() == 'n'
}

func literalString(v hujson.Value) string {
	l, _ := v.Value.(hujson.Literal)
	return l.String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
