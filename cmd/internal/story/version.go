package story

import (
	"fmt"
	"time"
)

// isVersion reports whether a line says that a version came into force.
func (l *Line) isVersion() bool {
	return l.Prefix == "control" && l.Message == "configuration in force"
}

// version says how the version came that decided a request, and why a newer one had not. Lines are
// all, in their order.
func version(end *Line, lines []Line) string {
	decided := end.Int("config")
	if decided == 0 {
		return ""
	}
	text := fmt.Sprintf("decided by configuration %d", decided)
	var newer []Line // of other instances, before the end
	var here *Line   // of this instance, after it
	for i := range lines {
		l := &lines[i]
		switch {
		case !l.isVersion():
		case l.Instance == end.Instance && l.Int("version") == decided && !l.At.After(end.At):
			text = fmt.Sprintf("decided by configuration %d, in force on %s for %v, from %s", decided, end.Instance, since(l, end), origin(l))
		case l.Int("version") > decided && l.Instance == end.Instance && here == nil && l.At.After(end.At):
			here = l
		case l.Int("version") > decided && l.Instance != end.Instance && !l.At.After(end.At):
			newer = append(newer, *l)
		}
	}
	if len(newer) == 0 {
		return text + "; no instance had a newer one"
	}
	first := newer[0]
	text += fmt.Sprintf("; configuration %d was in force on %s %v before, from %s", first.Int("version"), first.Instance, since(&first, end), origin(&first))
	if here == nil {
		return text + fmt.Sprintf(", and did not come to %s by the end of the logs", end.Instance)
	}
	return text + fmt.Sprintf(", and came to %s %v after, from %s", end.Instance, here.At.Sub(end.At).Round(time.Millisecond), origin(here))
}

// since is the time from a line to the end of a request.
func since(l, end *Line) time.Duration { return end.At.Sub(l.At).Round(time.Millisecond) }

// origin names where a version came from, and the age of what was read of the store.
func origin(l *Line) string {
	from := l.Text("from")
	if peer := l.Text("peer"); peer != "" {
		from = peer
	}
	return fmt.Sprintf("%s, read %s before", from, l.Text("age"))
}
