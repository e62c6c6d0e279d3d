package rollout

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// maxHistoryRecords is the number of saves that a stored value records. A save whose
// reply was lost can be settled as long as fewer saves than this followed it.
const maxHistoryRecords = 32

// historyPrefix starts a history line. It is a TOML comment, so that the stored value
// is a valid TOML document including its history.
const historyPrefix = "#saved "

// SaveRecord identifies a save by the submission's nonce and the version it replaced.
type SaveRecord struct {
	Nonce string
	Base  uint64
}

// EncodeValue builds a stored value: the history with the new record first, then the
// TOML text. It drops history lines that the text contains.
func EncodeValue(record SaveRecord, history []SaveRecord, text []byte) []byte {
	var b bytes.Buffer
	records := append([]SaveRecord{record}, history...)
	for _, r := range records[:min(len(records), maxHistoryRecords)] {
		fmt.Fprintf(&b, "%s%s %d\n", historyPrefix, r.Nonce, r.Base)
	}
	b.Write(DocumentText(text))
	return b.Bytes()
}

// ParseHistory returns the save records of a stored value, newest first. A value that
// another program wrote may have none.
func ParseHistory(value []byte) []SaveRecord {
	var records []SaveRecord
	for line := range strings.Lines(string(value)) {
		rest, ok := strings.CutPrefix(line, historyPrefix)
		if !ok || len(records) == maxHistoryRecords {
			break
		}
		nonce, version, _ := strings.Cut(strings.TrimSpace(rest), " ")
		base, err := strconv.ParseUint(version, 10, 64)
		if err != nil {
			break
		}
		records = append(records, SaveRecord{Nonce: nonce, Base: base})
	}
	return records
}

// DocumentText returns the TOML text of a stored value without the history.
func DocumentText(value []byte) []byte {
	for bytes.HasPrefix(value, []byte(historyPrefix)) {
		_, after, _ := bytes.Cut(value, []byte("\n"))
		value = after
	}
	return value
}

// stateInHistory returns what a stored value tells about a save: Accepted if it took
// effect, Conflict if another save replaced the same version, otherwise Unknown. The
// store lets at most one save replace each version, so the record of the save that
// replaced it is proof.
func stateInHistory(value []byte, record SaveRecord) State {
	for _, r := range ParseHistory(value) {
		if r.Base != record.Base {
			continue
		}
		if r.Nonce == record.Nonce {
			return Accepted
		}
		return Conflict
	}
	return Unknown
}
