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

// Add reports a problem of a field, given by its name in the file. A field that
// is absent from the file is reported at the object it belongs to. Fields of
// nested objects are named with dots, list elements by their number.
func (c *Checks) Add(field, format string, args ...any) {
	offset, ok := c.d.offsets[join(c.path, field)]
	if !ok {
		offset = c.d.offsets[c.path]
	}
	c.d.add(offset, format, args...)
}

// Require reports a field whose value is empty.
func (c *Checks) Require(field string, present bool) {
	if !present {
		c.Add(field, "the field %q is required", field)
	}
}

// Given tells whether the field is in the file.
func (c *Checks) Given(field string) bool {
	_, ok := c.d.offsets[join(c.path, field)]
	return ok
}

// check runs the Check methods of a value and of everything in it.
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
		for _, n := range names(fields) {
			d.check(fields[n], join(path, n))
		}
	case reflect.Slice:
		for i := range v.Len() {
			d.check(v.Index(i), join(path, strconv.Itoa(i)))
		}
	case reflect.Map:
		d.checkTable(v, path)
	}
}

func (d *decoder) checkTable(v reflect.Value, path string) {
	for _, key := range v.MapKeys() {
		element := reflect.New(v.Type().Elem()).Elem()
		element.Set(v.MapIndex(key))
		d.check(element, join(path, key.String()))
	}
}
