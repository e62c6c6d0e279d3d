package platform

import (
	"fmt"
	"strconv"
)

// Era numbers the states of a store between its restores from older copies. Revisions of different
// eras can't be compared: a restored store gives them out again. It is 0 if the store does not say.
type Era uint64

// parseEra parses the header of an answer; a missing one is era 0.
func parseEra(text string) (Era, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("era of the store: %w", err)
	}
	return Era(n), nil
}
