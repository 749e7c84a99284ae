package settings

import (
	"reflect"
	"strconv"
)

// Checks collects the findings of Check methods.
type Checks struct {
	d    *decoder
	path string
}

// Add reports a finding about a field, which is given by its name in the file. A
// field that is absent from the file is reported at the position of the enclosing
// object. The name of a nested field is a dotted path; list elements are named by
// their index.
func (c *Checks) Add(field, format string, args ...any) {
	offset, ok := c.d.offsets[joinPath(c.path, field)]
	if !ok {
		offset = c.d.offsets[c.path]
	}
	c.d.addFinding(offset, format, args...)
}

// Require reports a required field that is not present.
func (c *Checks) Require(field string, present bool) {
	if !present {
		c.Add(field, "the field %q is required", field)
	}
}

// Given reports whether the field is present in the file.
func (c *Checks) Given(field string) bool {
	_, ok := c.d.offsets[joinPath(c.path, field)]
	return ok
}

// check calls the Check methods of a value and of all values nested in it.
func (d *decoder) check(v reflect.Value, path string) {
	if d.failed[path] {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			d.check(v.Elem(), path)
		}
	case reflect.Struct:
		if c, ok := v.Addr().Interface().(Checker); ok {
			c.Check(&Checks{d: d, path: path})
		}
		fields := fieldsOf(v)
		for _, n := range sortedNames(fields) {
			d.check(fields[n], joinPath(path, n))
		}
	case reflect.Slice:
		for i := range v.Len() {
			d.check(v.Index(i), joinPath(path, strconv.Itoa(i)))
		}
	case reflect.Map:
		d.checkMap(v, path)
	}
}

func (d *decoder) checkMap(v reflect.Value, path string) {
	for _, key := range v.MapKeys() {
		element := reflect.New(v.Type().Elem()).Elem()
		element.Set(v.MapIndex(key))
		d.check(element, joinPath(path, key.String()))
	}
}
