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

// decoder decodes a syntax tree into a struct. It records the offset of every value
// under its path, such as "operator.listen.address", so that the checks can report
// findings at that position.
type decoder struct {
	file     string
	dir      string
	text     []byte
	findings findings.List
	offsets  map[string]int
	// failed holds the paths where an object was expected and something else was
	// found. Their checks are skipped.
	failed map[string]bool
}

func (d *decoder) addFinding(offset int, format string, args ...any) {
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

// decodeValue decodes one value into target.
func (d *decoder) decodeValue(v hujson.Value, target reflect.Value, path string) {
	d.offsets[path] = v.StartOffset
	if target.Kind() == reflect.Pointer && !target.Type().Implements(unmarshalerType) {
		if isNull(v) {
			target.SetZero()
			return
		}
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		d.decodeValue(v, target.Elem(), path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(v, target, path)
	case reflect.Slice:
		d.decodeArray(v, target, path)
	case reflect.Map:
		d.decodeMap(v, target, path)
	default:
		d.decodeLiteral(v, target)
	}
}

func (d *decoder) decodeObject(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addFinding(v.StartOffset, "expected an object")
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
			d.addFinding(m.Name.StartOffset, "unknown field %q: expected %s", name, strings.Join(sortedNames(fields), ", "))
		case seen[name]:
			d.addFinding(m.Name.StartOffset, "field %q is given twice", name)
		default:
			d.decodeValue(m.Value, field, joinPath(path, name))
		}
		seen[name] = true
	}
}

func (d *decoder) decodeArray(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addFinding(v.StartOffset, "expected a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, e := range array.Elements {
		d.decodeValue(e, list.Index(i), joinPath(path, strconv.Itoa(i)))
	}
	target.Set(list)
}

func (d *decoder) decodeMap(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok || target.Type().Key().Kind() != reflect.String {
		d.addFinding(v.StartOffset, "expected an object")
		return
	}
	table := reflect.MakeMapWithSize(target.Type(), len(object.Members))
	for _, m := range object.Members {
		name := literalString(m.Name)
		key := reflect.ValueOf(name).Convert(target.Type().Key())
		if table.MapIndex(key).IsValid() {
			d.addFinding(m.Name.StartOffset, "field %q is given twice", name)
			continue
		}
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(m.Value, element, joinPath(path, name))
		table.SetMapIndex(key, element)
	}
	target.Set(table)
}

func (d *decoder) decodeLiteral(v hujson.Value, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || isNull(v) {
		d.addFinding(v.StartOffset, "expected %s", describeType(target.Type()))
		return
	}
	if err := json.Unmarshal(literal, target.Addr().Interface()); err != nil {
		var valueErr *ValueError
		if errors.As(err, &valueErr) {
			d.addFinding(v.StartOffset, "%s: %s", string(literal), valueErr.Text)
			return
		}
		d.addFinding(v.StartOffset, "%s: expected %s", string(literal), describeType(target.Type()))
		return
	}
	if target.Type() == fileType && target.String() != "" && !filepath.IsAbs(target.String()) {
		target.SetString(filepath.Join(d.dir, target.String()))
	}
}

// ValueError is returned by the UnmarshalJSON method of a settings type. Its text
// describes the expected value and is reported as a finding.
type ValueError struct{ Text string }

// Error implements error.
func (e *ValueError) Error() string { return e.Text }

// fieldsOf returns the fields of a struct, including those of embedded structs, by
// their name in the file.
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

func sortedNames(fields map[string]reflect.Value) []string {
	var list []string
	for n := range fields {
		list = append(list, n)
	}
	sort.Strings(list)
	return list
}

// describeType names the kind of value that a type accepts, for use in a finding.
func describeType(t reflect.Type) string {
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
