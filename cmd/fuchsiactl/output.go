package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// table is rows under a header.
type table struct {
	header []string
	rows   [][]string
}

// add appends a row.
func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// write prints the table with aligned columns.
func (t *table) write(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(t.header) > 0 {
		fmt.Fprintln(tab, strings.Join(t.header, "\t"))
	}
	for _, row := range t.rows {
		fmt.Fprintln(tab, strings.Join(row, "\t"))
	}
	return tab.Flush()
}

// print writes a value as JSON, or the table of it.
func (o *options) print(w io.Writer, value any, t *table) error {
	if o.output == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	return t.write(w)
}
