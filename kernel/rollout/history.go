package rollout

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// maxHistory is the number of saves that a stored value remembers. A lost
// reply can be settled as long as at most this many saves followed it.
const maxHistory = 32

// historyPrefix starts a history line. It is a TOML comment, so that the
// stored value is a TOML document as it stands.
const historyPrefix = "#saved "

// SaveRecord is one save: the submission's nonce and the version it replaced.
type SaveRecord struct {
	Nonce string
	Base  uint64
}

// EncodeValue builds the stored value: the history with the new save first, then the
// TOML text. History lines that the text brings along are dropped.
func EncodeValue(link SaveRecord, base []SaveRecord, toml []byte) []byte {
	var b bytes.Buffer
	links := append([]SaveRecord{link}, base...)
	for _, l := range links[:min(len(links), maxHistory)] {
		fmt.Fprintf(&b, "%s%s %d\n", historyPrefix, l.Nonce, l.Base)
	}
	b.Write(DocumentText(toml))
	return b.Bytes()
}

// ParseHistory reads the saves of a stored value, newest first. A value that
// something else wrote may have none.
func ParseHistory(value []byte) []SaveRecord {
	var links []SaveRecord
	for line := range strings.Lines(string(value)) {
		rest, ok := strings.CutPrefix(line, historyPrefix)
		if !ok || len(links) == maxHistory {
			break
		}
		nonce, version, _ := strings.Cut(strings.TrimSpace(rest), " ")
		base, err := strconv.ParseUint(version, 10, 64)
		if err != nil {
			break
		}
		links = append(links, SaveRecord{Nonce: nonce, Base: base})
	}
	return links
}

// DocumentText is the TOML text of a stored value, without the history.
func DocumentText(value []byte) []byte {
	for bytes.HasPrefix(value, []byte(historyPrefix)) {
		_, after, _ := bytes.Cut(value, []byte("\n"))
		value = after
	}
	return value
}

// fate says what a stored value tells of a save: that it took effect, that
// another save took its place, or neither. The store lets one save at most
// replace each version, so the save that did replace it is decisive.
func fate(value []byte, link SaveRecord) State {
	for _, l := range ParseHistory(value) {
		if l.Base != link.Base {
			continue
		}
		if l.Nonce == link.Nonce {
			return Accepted
		}
		return Conflict
	}
	return Unknown
}
