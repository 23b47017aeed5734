package prefs

import (
	"reflect"
	"strings"
)

// option is one setting, as described by the tags of its field.
type option struct {
	section, key string
	unit, doc    string
	min, max     string
	// check is the name of the check on the text, with its argument after "=".
	check string
	// allowEmpty is true if the option may be empty, and is then not checked.
	allowEmpty bool
	// index is the path of the field in Prefs.
	index []int
}

// section is a group of options.
type section struct {
	name, doc string
	options   []option
}

// sections lists all options in the order of the struct.
var sections = describeSections(reflect.TypeOf(Prefs{}))

func describeSections(t reflect.Type) []section {
	var list []section
	for i := range t.NumField() {
		f := t.Field(i)
		s := section{name: f.Tag.Get("ini"), doc: f.Tag.Get("doc")}
		for j := range f.Type.NumField() {
			s.options = append(s.options, describeOption(s.name, f.Type.Field(j), []int{i, j}))
		}
		list = append(list, s)
	}
	return list
}

func describeOption(section string, f reflect.StructField, index []int) option {
	check, modifier, _ := strings.Cut(f.Tag.Get("check"), ",")
	return option{
		section:    section,
		key:        f.Tag.Get("ini"),
		unit:       f.Tag.Get("unit"),
		doc:        f.Tag.Get("doc"),
		min:        f.Tag.Get("min"),
		max:        f.Tag.Get("max"),
		check:      check,
		allowEmpty: modifier == "empty",
		index:      index,
	}
}

// field returns the field of p that holds the option.
func (o *option) field(p *Prefs) reflect.Value {
	return reflect.ValueOf(p).Elem().FieldByIndex(o.index)
}
