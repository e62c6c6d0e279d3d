package console

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// fieldFaults are the faults of a form by the name of the field.
type fieldFaults map[string][]string

// addf records a fault.
func (f fieldFaults) addf(field, format string, args ...any) {
	f[field] = append(f[field], fmt.Sprintf(format, args...))
}

// input reads the fields of a form and collects what can't be read.
type input struct {
	values url.Values
	faults fieldFaults
}

func newInput(values url.Values) *input { return &input{values, fieldFaults{}} }

// text is a field without the spaces around it.
func (in *input) text(field string) string { return strings.TrimSpace(in.values.Get(field)) }

// flag tells whether a box is checked.
func (in *input) flag(field string) bool { return in.values.Get(field) != "" }

// list is all values of a field.
func (in *input) list(field string) []string { return in.values[field] }

// whole reads a whole number.
func (in *input) whole(field string) int {
	n, err := strconv.Atoi(in.text(field))
	if err != nil {
		in.faults.addf(field, "%q is not a whole number", in.text(field))
	}
	return n
}

// size reads a whole number that is not negative.
func (in *input) size(field string) uint64 {
	n, err := strconv.ParseUint(in.text(field), 10, 64)
	if err != nil {
		in.faults.addf(field, "%q is not a whole number of 0 or more", in.text(field))
	}
	return n
}

// number reads a number with a fraction.
func (in *input) number(field string) float64 {
	n, err := strconv.ParseFloat(in.text(field), 64)
	if err != nil {
		in.faults.addf(field, "%q is not a number such as 0.95", in.text(field))
	}
	return n
}

// duration reads a duration; an empty field is 0.
func (in *input) duration(field string) time.Duration {
	if in.text(field) == "" {
		return 0
	}
	d, err := time.ParseDuration(in.text(field))
	if err != nil {
		in.faults.addf(field, "%q is not a duration such as 200ms", in.text(field))
		return -1 // which the document's checks leave alone
	}
	if d < 0 {
		in.faults.addf(field, "%q must not be negative", in.text(field))
	}
	return d
}
