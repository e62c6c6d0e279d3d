package quarantine

import "time"

// Machine keeps the records of one entry.
type Machine struct {
	cfg     Config
	records map[string]Record
	good    map[string]bool
}

// New returns a machine that knows no fingerprint.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, records: make(map[string]Record), good: make(map[string]bool)}
}

// Admit decides how a request may run that asks the given number of shards.
func (m *Machine) Admit(fingerprint string, shards, canaryAbove int, now time.Time) Decision {
	r, ok := m.records[fingerprint]
	live := ok && now.Before(r.Until)
	switch {
	case live && r.Level >= LevelQuarantined:
		return Decision{Mode: ModeRefuse, RetryAfter: r.Until.Sub(now)}
	case live && r.Level%2 == 1:
		return Decision{Mode: ModeSuspect}
	case m.good[fingerprint] || canaryAbove == 0 || shards <= canaryAbove:
		return Decision{Mode: ModeRun}
	}
	return Decision{Mode: ModeCanary}
}

// Handle takes an event and returns the actions it causes.
func (m *Machine) Handle(ev Event, now time.Time) []Action {
	switch ev := ev.(type) {
	case Observed:
		return m.observed(ev, now)
	case Merged:
		for _, r := range ev.Records {
			m.merge(r)
		}
	case Lifted:
		delete(m.records, ev.Fingerprint)
	}
	return nil
}

func (m *Machine) observed(ev Observed, now time.Time) []Action {
	if !ev.Crashed {
		m.good[ev.Fingerprint] = true
		delete(m.records, ev.Fingerprint)
		return nil
	}
	r := m.records[ev.Fingerprint]
	r = Record{Fingerprint: ev.Fingerprint, Level: r.Level + 1, Until: now.Add(m.cfg.SuspectFor)}
	if r.Level > 1 {
		r.Level, r.Until = LevelQuarantined, now.Add(m.cfg.QuarantineFor)
	}
	m.records[ev.Fingerprint] = r
	return []Action{Announce{Record: r}}
}

func (m *Machine) merge(r Record) {
	old, ok := m.records[r.Fingerprint]
	if !ok || r.Level > old.Level || (r.Level == old.Level && r.Until.After(old.Until)) {
		m.records[r.Fingerprint] = r
	}
}

// Digest returns the records to tell a peer.
func (m *Machine) Digest(now time.Time) []Record {
	var out []Record
	for _, r := range m.records {
		if now.Before(r.Until) && len(out) < m.cfg.DigestRecords {
			out = append(out, r)
		}
	}
	return out
}
