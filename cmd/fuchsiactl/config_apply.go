package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/entryclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
)

// flagIfVersion names the flag of config apply.
const flagIfVersion = "if-version"

// newConfigApply builds the command that saves a document.
func newConfigApply(o *options) *cobra.Command {
	var ifVersion uint64
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Save a document",
		Long: `Apply saves a document through an entry, on condition that the stored version is
still the one the file was made from: --if-version, as config show -o json gave
it. Without the flag it is the generation in force at the entry, so that only a
save at the same moment is a conflict; look at config diff first.

The first document of a site is saved with --if-version 0 and the platform's
token, as there is no operator yet.

When the outcome is unknown (exit code 4) the document may have been saved:
config diff FILE says whether it is in force. Applying it again with the same
--if-version is safe: the store lets one save replace a version.`,
		Args: usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, _, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed(flagIfVersion) {
				if ifVersion, err = generationInForce(cmd, o); err != nil {
					return err
				}
			}
			return apply(cmd, o, text, ifVersion)
		},
	}
	cmd.Flags().Uint64Var(&ifVersion, flagIfVersion, 0, "generation that the file was made from; 0 for the first document")
	return cmd
}

// generationInForce asks the entry for its generation.
func generationInForce(cmd *cobra.Command, o *options) (uint64, error) {
	client, err := o.client()
	if err != nil {
		return 0, err
	}
	state, err := client.Config(cmd.Context(), o.token)
	if err != nil {
		return 0, fmt.Errorf("generation in force: %w", err)
	}
	return state.Generation, nil
}

// apply saves a text and tells the outcome.
func apply(cmd *cobra.Command, o *options, text []byte, ifVersion uint64) error {
	reply, err := o.saveConfig(cmd.Context(), text, ifVersion)
	var broken *entryclient.BrokenError
	if errors.As(err, &broken) {
		return fmt.Errorf("unknown whether it was saved; see config diff and apply it again with --%s %d: %w", flagIfVersion, ifVersion, err)
	}
	if err != nil {
		return err
	}
	if o.output == outputJSON {
		err = o.print(cmd.OutOrStdout(), reply, nil)
	} else {
		err = writeReply(cmd.OutOrStdout(), reply)
	}
	return errors.Join(err, saveError(reply))
}

// writeReply prints what became of a save.
func writeReply(w io.Writer, r *operators.SaveReply) error {
	t := &table{header: []string{"STATE", "GENERATION", "HASH"}}
	t.add(string(r.State), generationCell(r.Generation), shortHash(r.Hash))
	if err := t.write(w); err != nil {
		return err
	}
	_, err := io.WriteString(w, r.Diff)
	return err
}

// saveError is the error of a save that was not accepted, with its exit code.
func saveError(r *operators.SaveReply) error {
	code := exitNotRun
	switch r.State {
	case operators.Accepted:
		return nil
	case operators.Invalid:
		code = exitUsage
	case operators.Unknown:
		code = exitUnknown
	case operators.Conflict, operators.Refused:
	}
	text := r.Title + ": " + r.Detail
	for _, f := range r.Faults {
		text += "\n  " + faultLine(f)
	}
	return &exitError{code, errors.New(text)}
}

// newConfigStatus builds the command that shows the generation per instance.
func newConfigStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the generation in force per instance",
		Long: `Status shows the generation in force at each instance as the entry last received it,
and how long ago. HIGHEST is no for an instance that is behind the highest
generation known. Entries of the platform's list that the entry does not hear are
listed in the table as unknown.`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			status := &callerapi.ConfigStatus{}
			if err := o.exchange(cmd.Context(), http.MethodGet, callerapi.PathConfigStatus, nil, status); err != nil {
				return err
			}
			list := &platformapi.Instances{}
			if err := o.exchange(cmd.Context(), http.MethodGet, callerapi.PathInstances, nil, list); err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), status, statusTable(status, list.Instances))
		},
	}
}

// statusTable lists the instances that answered, then the entries of the
// platform's list that were not.
func statusTable(status *callerapi.ConfigStatus, list []platformapi.Instance) *table {
	t := &table{header: []string{"INSTANCE", "GENERATION", "HIGHEST", "HASH", "LAST REPLY"}}
	alive := map[string]bool{}
	for _, i := range status.Instances {
		alive[i.Instance] = true
		t.add(i.Instance, generationCell(i.Generation), yesNo(i.Generation >= status.Highest), shortHash(i.Hash), milliseconds(i.AgeMS)+" ago")
	}
	for _, i := range list {
		if i.Role == platformapi.RoleEntry && !alive[i.ID] {
			t.add(i.ID, "unknown", "unknown", "unknown", "no")
		}
	}
	return t
}

// generationCell writes a generation; 0 is none.
func generationCell(n uint64) string {
	if n == 0 {
		return "none"
	}
	return strconv.FormatUint(n, 10)
}

// hashShown is the number of digits of a hash in tables.
const hashShown = 12

// shortHash is the start of a hash, enough to compare by eye.
func shortHash(hash string) string {
	if hash == "" {
		return "unknown"
	}
	return hash[:min(len(hash), hashShown)]
}
