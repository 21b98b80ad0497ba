// Package diff tells in words what changes between two configurations, and for
// whom.
package diff

import (
	"fmt"
	"reflect"
	"strings"

	"bronzewind.example/core/config"
)

// Change is one difference.
type Change struct {
	For  string `json:"for"` // who notices it
	What string `json:"what"`
}

// audiences names who notices a changed field, by its YAML name.
var audiences = map[string]string{
	"target": "callers", "patience": "callers", "worth": "callers", "rank": "callers", "retries": "callers",
	"body-bytes": "callers", "floor": "callers", "queue-limit": "callers", "cap": "callers", "method": "callers",
	"path-suffix": "callers", "path-prefix": "callers", "once-only": "callers", "header-bytes": "callers",
	"server-slots": "backend servers", "connections": "backend servers", "cold-start": "backend servers",
	"services": "callers", "kinds": "callers", "callers": "callers",
	"checks-grants": "backend servers", "trusts-refusals": "backend servers", "service-time": "backend servers",
}

// Compare returns what changes from old to new, in order of the document. The
// version alone is no change.
func Compare(from, to *config.Configuration) []Change {
	d := &differ{}
	d.compare("", "fleet", reflect.ValueOf(from.WithVersion(0)), reflect.ValueOf(to.WithVersion(0)))
	return d.changes
}

type differ struct{ changes []Change }

// compare walks two values of one type; where names the things around them.
func (d *differ) compare(field, where string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		for i := range a.NumField() {
			name := strings.Split(a.Type().Field(i).Tag.Get("yaml"), ",")[0]
			d.compare(name, where, a.Field(i), b.Field(i))
		}
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.compareNamed(field, where, a, b)
	case !reflect.DeepEqual(a.Interface(), b.Interface()):
		d.add(field, where, fmt.Sprintf("%s %s -> %s", field, show(a), show(b)))
	}
}

// compareNamed pairs the elements of two slices by their names.
func (d *differ) compareNamed(field, where string, a, b reflect.Value) {
	for i := range a.Len() {
		name := nameOf(a.Index(i))
		at := where + ", " + strings.TrimSuffix(field, "s") + " " + name
		other, ok := find(b, name)
		if !ok {
			d.add(field, at, "is removed")
			continue
		}
		d.compare(field, at, a.Index(i), other)
	}
	for i := range b.Len() {
		name := nameOf(b.Index(i))
		if _, ok := find(a, name); !ok {
			d.add(field, where+", "+strings.TrimSuffix(field, "s")+" "+name, "is new")
		}
	}
}

func (d *differ) add(field, where, what string) {
	who, ok := audiences[field]
	if !ok {
		who = "operators"
	}
	d.changes = append(d.changes, Change{For: who, What: strings.TrimPrefix(where, "fleet, ") + ": " + what})
}

func nameOf(v reflect.Value) string { return v.FieldByName("Name").String() }

func find(list reflect.Value, name string) (reflect.Value, bool) {
	for i := range list.Len() {
		if nameOf(list.Index(i)) == name {
			return list.Index(i), true
		}
	}
	return reflect.Value{}, false
}

func show(v reflect.Value) string {
	if d, ok := v.Interface().(config.Duration); ok {
		return d.Std().String()
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}
