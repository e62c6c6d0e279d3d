package platform

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
)

// objectKey names an object.
type objectKey struct{ kind, name string }

// change is an event with the object as it was before.
type change struct {
	event  platformapi.Event
	before platformapi.Object // version 0: there was none
}

// store holds the objects and the recent events. It does no I/O and has no
// lock. Values are never changed in place, so a clone of the map is a snapshot.
type store struct {
	revision uint64
	objects  map[objectKey]platformapi.Object
	changes  []change // oldest first, at most limit
	dropped  uint64   // version of the newest change no longer kept
	limit    int
}

func newStore(limit int) *store {
	return &store{objects: map[objectKey]platformapi.Object{}, limit: limit}
}

// get returns an object and whether it exists.
func (s *store) get(kind, name string) (platformapi.Object, bool) {
	o, ok := s.objects[objectKey{kind, name}]
	return o, ok
}

// put writes a value if the object's version is ifVersion (0: absent).
// It returns the object as it stands then, and whether it was written.
func (s *store) put(kind, name string, value []byte, ifVersion uint64) (platformapi.Object, bool) {
	key := objectKey{kind, name}
	now := s.objects[key]
	if now.Version != ifVersion {
		return now, false
	}
	s.revision++
	o := platformapi.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	s.objects[key] = o
	s.record(platformapi.Event{Object: o}, now)
	return o, true
}

// refresh replaces the value of an object that exists, without a change of its version.
func (s *store) refresh(kind, name string, value []byte) {
	key := objectKey{kind, name}
	if o, ok := s.objects[key]; ok {
		o.Value = value
		s.objects[key] = o
	}
}

// remove deletes an object if its version is ifVersion.
func (s *store) remove(kind, name string, ifVersion uint64) (platformapi.Object, bool) {
	key := objectKey{kind, name}
	now, found := s.objects[key]
	if !found || now.Version != ifVersion {
		return now, false
	}
	s.revision++
	delete(s.objects, key)
	gone := platformapi.Object{Kind: kind, Name: name, Version: s.revision}
	s.record(platformapi.Event{Object: gone, Deleted: true}, now)
	return gone, true
}

// record keeps a change for watches and drops the oldest over the limit.
func (s *store) record(e platformapi.Event, before platformapi.Object) {
	s.changes = append(s.changes, change{event: e, before: before})
	if over := len(s.changes) - s.limit; over > 0 {
		s.dropped = s.changes[over-1].event.Object.Version
		s.changes = slices.Delete(s.changes, 0, over)
	}
}

// list returns all objects of a kind by name.
func (s *store) list(kind string) platformapi.List {
	out := platformapi.List{Revision: s.revision, Objects: []platformapi.Object{}}
	for key, o := range s.objects {
		if key.kind == kind {
			out.Objects = append(out.Objects, o)
		}
	}
	slices.SortFunc(out.Objects, func(a, b platformapi.Object) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// since returns the events of a kind after a revision. ok is false when some
// of them are no longer kept.
func (s *store) since(kind string, revision uint64) (events []platformapi.Event, ok bool) {
	if revision < s.dropped {
		return nil, false
	}
	for _, c := range s.changes {
		if c.event.Object.Version > revision && c.event.Object.Kind == kind {
			events = append(events, c.event)
		}
	}
	return events, true
}

// asOf returns a frozen copy of the store at an earlier revision, made by
// undoing the kept events. ok is false when the revision is too old.
func (s *store) asOf(revision uint64) (frozen *store, ok bool) {
	if revision < s.dropped {
		return nil, false
	}
	frozen = newStore(s.limit)
	frozen.revision = min(revision, s.revision)
	frozen.dropped = s.dropped
	frozen.objects = maps.Clone(s.objects)
	frozen.changes = slices.Clone(s.changes)
	for len(frozen.changes) > 0 {
		last := frozen.changes[len(frozen.changes)-1]
		if last.event.Object.Version <= revision {
			break
		}
		frozen.undo(last)
		frozen.changes = frozen.changes[:len(frozen.changes)-1]
	}
	return frozen, true
}

// undo takes one change back.
func (s *store) undo(c change) {
	key := objectKey{c.event.Object.Kind, c.event.Object.Name}
	if c.before.Version == 0 {
		delete(s.objects, key)
		return
	}
	s.objects[key] = c.before
}
