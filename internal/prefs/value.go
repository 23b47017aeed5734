package prefs

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

var durationType = reflect.TypeOf(time.Duration(0))

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// reservedCharacters have a meaning in INI itself; a value with one could not be printed so
// that it reads back the same.
var reservedCharacters = regexp.MustCompile("[\\x00-\\x1f\\x7f\"'`;#\\\\]")

// set checks text and writes it into the field.
func (o *option) set(p *Prefs, text string) error {
	f := o.field(p)
	if f.Kind() == reflect.Slice {
		return o.setList(f, text)
	}
	v, err := o.parse(f.Type(), text)
	if err != nil {
		return err
	}
	f.Set(v)
	return nil
}

func (o *option) setList(f reflect.Value, text string) error {
	var list []string
	for _, item := range strings.Split(text, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			continue
		}
		if err := o.checkText(item); err != nil {
			return err
		}
		list = append(list, item)
	}
	f.Set(reflect.ValueOf(list))
	return nil
}

// parse converts text into a value of type t, within the option's bounds.
func (o *option) parse(t reflect.Type, text string) (reflect.Value, error) {
	v, err := convert(t, text)
	if err != nil {
		return v, err
	}
	if t.Kind() == reflect.String {
		return v, o.checkText(text)
	}
	if o.min == "" {
		return v, nil
	}
	low, err := convert(t, o.min)
	if err != nil {
		return v, err
	}
	high, err := convert(t, o.max)
	if err != nil {
		return v, err
	}
	// The condition is negated, so that a NaN fails it as well.
	if !atLeast(v, low) || !atLeast(high, v) {
		return v, fmt.Errorf("%s is not within %s to %s", text, o.min, o.max)
	}
	return v, nil
}

func convert(t reflect.Type, text string) (reflect.Value, error) {
	v := reflect.New(t).Elem()
	if t == durationType {
		d, err := time.ParseDuration(text)
		if err != nil {
			return v, fmt.Errorf("%q is no duration such as 250ms, 5s or 2m", text)
		}
		v.SetInt(int64(d))
		return v, nil
	}
	switch t.Kind() {
	case reflect.Bool:
		if text != "true" && text != "false" {
			return v, fmt.Errorf("%q is neither true nor false", text)
		}
		v.SetBool(text == "true")
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return v, fmt.Errorf("%q is no whole number", text)
		}
		v.SetInt(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return v, fmt.Errorf("%q is no number", text)
		}
		v.SetFloat(n)
	default:
		v.SetString(text)
	}
	return v, nil
}

func atLeast(v, low reflect.Value) bool {
	if v.Kind() == reflect.Float64 {
		return v.Float() >= low.Float()
	}
	return v.Int() >= low.Int()
}

func (o *option) checkText(text string) error {
	if text == "" && (o.allowEmpty || o.check == "") {
		return nil
	}
	if reservedCharacters.MatchString(text) || !utf8.ValidString(text) {
		return fmt.Errorf("%q holds quotes, a backslash, ; # or characters that can't be printed", text)
	}
	name, arg, _ := strings.Cut(o.check, "=")
	switch name {
	case "address":
		return checkAddress(text, false)
	case "listen":
		return checkAddress(text, true)
	case "url":
		return checkURL(text)
	case "ip":
		if _, err := netip.ParseAddr(text); err != nil {
			return fmt.Errorf("%q is no IP number", text)
		}
	case "name":
		if !namePattern.MatchString(text) {
			return fmt.Errorf("%q is no name: 1 to 64 letters, digits, dots, dashes and underscores", text)
		}
	case "one_of":
		if all := strings.Fields(arg); !slices.Contains(all, text) {
			return fmt.Errorf("%q is none of %s", text, strings.Join(all, ", "))
		}
	}
	return nil
}

// checkAddress accepts IP addresses only: a name would need a resolver, which may be
// unreachable just when a daemon has to start.
func checkAddress(text string, listen bool) error {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is no ip:port with an IP number", text)
	}
	if listen {
		return nil
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		return fmt.Errorf("%q can't be reached: it needs a port above 0 and an address of one VM", text)
	}
	return nil
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" {
		return fmt.Errorf("%q is no URL such as http://192.0.2.1:7500", text)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return errors.New("its scheme is neither http nor https")
	}
	return nil
}

// text returns the field's value as it is written in a file.
func (o *option) text(p *Prefs) string {
	f := o.field(p)
	if list, ok := f.Interface().([]string); ok {
		return strings.Join(list, ", ")
	}
	return fmt.Sprint(f.Interface())
}
