package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// stdinName is the file name that means standard input.
const stdinName = "-"

// newConfig builds the commands on the configuration document.
func newConfig(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, compare, save and follow the configuration document",
		Long: `Config checks, compares, saves and follows the configuration document. A FILE
of "-" is standard input. The commands that ask an entry need an operator's token.`,
		Args: cobra.ArbitraryArgs,
		RunE: func(*cobra.Command, []string) error {
			return &usageError{errors.New("config: want validate, diff, show, apply or status")}
		},
	}
	cmd.AddCommand(newConfigValidate(o), newConfigDiff(o), newConfigShow(o), newConfigApply(o), newConfigStatus(o))
	return cmd
}

// readDocument reads a document's text and parses it. Faults are a
// *documentError.
func readDocument(cmd *cobra.Command, name string) ([]byte, *document.Document, error) {
	text, err := readFile(cmd, name)
	if err != nil {
		return nil, nil, &usageError{err}
	}
	if name == stdinName {
		name = "standard input"
	}
	doc, err := codec.Parse(text)
	var list *fault.List
	if errors.As(err, &list) {
		return nil, nil, &documentError{File: name, Faults: locateFaults(text, list.Faults), list: list}
	}
	return text, doc, err
}

// readFile reads a file, or standard input, up to more than a document may have.
func readFile(cmd *cobra.Command, name string) ([]byte, error) {
	in := cmd.InOrStdin()
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	return io.ReadAll(io.LimitReader(in, codec.MaxBytes+1))
}

// documentError lists the faults of a document in a file.
type documentError struct {
	File   string
	Faults []operators.Fault
	list   *fault.List
}

// Error writes the faults, one a line.
func (e *documentError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s is not a valid document", e.File)
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "\n  %s", faultLine(f))
	}
	return b.String()
}

// Unwrap returns the list, which asks for the exit code of a bad document.
func (e *documentError) Unwrap() error { return e.list }

// faultLine writes a fault as "line 3, column 5: path: reason".
func faultLine(f operators.Fault) string {
	return fault.Fault{Path: f.Path, Line: f.Line, Column: f.Column, Reason: f.Reason}.String()
}

// validation is the output of config validate.
type validation struct {
	File   string            `json:"file"`
	Valid  bool              `json:"valid"`
	Hash   string            `json:"hash,omitempty"`
	Faults []operators.Fault `json:"faults,omitempty"`
}

// newConfigValidate builds the command that checks a file without an entry.
func newConfigValidate(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a document without an entry",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, doc, err := readDocument(cmd, args[0])
			var faulty *documentError
			if errors.As(err, &faulty) && o.output == outputJSON {
				return errors.Join(o.print(cmd.OutOrStdout(), validation{File: args[0], Faults: faulty.Faults}, nil), err)
			}
			if err != nil {
				return err
			}
			v := validation{File: args[0], Valid: true, Hash: codec.Hash(doc)}
			t := &table{header: []string{"FILE", "VALID", "HASH"}}
			t.add(v.File, yesNo(v.Valid), v.Hash)
			return o.print(cmd.OutOrStdout(), v, t)
		},
	}
}

// difference is the output of config diff.
type difference struct {
	Equal bool   `json:"equal"`
	Diff  string `json:"diff"`
}

// newConfigDiff builds the command that compares two documents.
func newConfigDiff(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff A [B]",
		Short: "Show what changes from document A to B, or from the entry's to A",
		Long: `Diff shows what changes from document A to document B, or, with one file, from
the document in force at the entry to the file. Order and layout don't count.`,
		Args: usageArgs(cobra.RangeArgs(1, 2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, to, err := readDocument(cmd, args[len(args)-1])
			if err != nil {
				return err
			}
			from, err := diffBase(cmd, o, args)
			if err != nil {
				return err
			}
			d := difference{Diff: codec.Diff(from, to)}
			d.Equal = d.Diff == ""
			if o.output == outputJSON {
				return o.print(cmd.OutOrStdout(), d, nil)
			}
			if d.Equal {
				d.Diff = "no difference\n"
			}
			_, err = io.WriteString(cmd.OutOrStdout(), d.Diff)
			return err
		},
	}
}

// diffBase is the document to compare with: the first file, or the entry's.
func diffBase(cmd *cobra.Command, o *options, args []string) (*document.Document, error) {
	if len(args) == 2 {
		_, doc, err := readDocument(cmd, args[0])
		return doc, err
	}
	return documentInForce(cmd, o)
}

// documentInForce reads the document that is in force at the entry.
func documentInForce(cmd *cobra.Command, o *options) (*document.Document, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	state, err := client.Config(cmd.Context(), o.token)
	if err != nil {
		return nil, err
	}
	doc, err := codec.Parse([]byte(state.Document))
	if err != nil {
		return nil, fmt.Errorf("document of generation %d: %w", state.Generation, err)
	}
	return doc, nil
}

// newConfigShow builds the command that prints the document in force.
func newConfigShow(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the document in force at an entry",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			state, err := client.Config(cmd.Context(), o.token)
			if err != nil {
				return err
			}
			if o.output == outputJSON {
				return o.print(cmd.OutOrStdout(), state, nil)
			}
			_, err = io.WriteString(cmd.OutOrStdout(), state.Document)
			return err
		},
	}
}
