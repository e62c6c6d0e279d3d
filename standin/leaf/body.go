package leaf

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Line is one line of a reply's body: the data of one range at one version for
// one request. A body is a function of these alone, so that a test can tell a
// mixed or foreign answer.
type Line struct {
	Upstream string
	Version  uint64
	Range    keyrange.Range
	// Question is Hash of the request's body.
	Question string
}

// Hash is the xxhash64 of some bytes, 16 hex digits.
func Hash(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }

// fields are the line's parts without the digest.
func (l Line) fields() string {
	return strings.Join([]string{l.Upstream, strconv.FormatUint(l.Version, 10), l.Range.String(), l.Question}, " ")
}

// String is the line as it stands in a body, without the line end: upstream,
// version, range, question, and a digest of them in place of data.
func (l Line) String() string {
	fields := l.fields()
	return fields + " " + Hash([]byte(fields))
}

// Body is a whole body: a line for each range, then padding up to a size in bytes.
func Body(upstream string, version uint64, ranges []keyrange.Range, question string, size int) []byte {
	var b bytes.Buffer
	for _, r := range ranges {
		b.WriteString(Line{Upstream: upstream, Version: version, Range: r, Question: question}.String())
		b.WriteByte('\n')
	}
	for b.Len() < size {
		b.WriteByte('.')
	}
	return b.Bytes()
}

// ParseBody reads a body and checks the digest of each line. A body without a
// line is an error.
func ParseBody(body []byte) ([]Line, error) {
	var lines []Line
	text := strings.TrimRight(string(body), ".")
	for row := range strings.Lines(text) {
		line, err := parseLine(strings.TrimSuffix(row, "\n"))
		if err != nil {
			return nil, fmt.Errorf("body line %d: %w", len(lines)+1, err)
		}
		lines = append(lines, line)
	}
	if len(lines) == 0 {
		return nil, errors.New("body: no line")
	}
	return lines, nil
}

// lineFields is the number of fields of a line, with the digest.
const lineFields = 5

func parseLine(row string) (Line, error) {
	f := strings.Fields(row)
	if len(f) != lineFields {
		return Line{}, fmt.Errorf("%d fields, want %d", len(f), lineFields)
	}
	version, err := strconv.ParseUint(f[1], 10, 64)
	if err != nil {
		return Line{}, fmt.Errorf("version: %w", err)
	}
	r, err := keyrange.Parse(f[2])
	if err != nil {
		return Line{}, err
	}
	line := Line{Upstream: f[0], Version: version, Range: r, Question: f[3]}
	if line.String() != row {
		return Line{}, fmt.Errorf("digest %s does not fit", f[4])
	}
	return line, nil
}
