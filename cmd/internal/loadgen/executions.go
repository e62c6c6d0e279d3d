package loadgen

// Executions compares what callers were answered with what leaves really ran.
type Executions struct {
	// Keys is the number of idempotency keys sent, Resends how many of them
	// were sent a second time, and MaxPerKey the most executions of one.
	Keys      int `json:"keys"`
	Resends   int `json:"resends"`
	MaxPerKey int `json:"max_per_key"`
	// Refused is the number of queries of which every sending was answered "not
	// run"; RefusedButRan those of them that a leaf had run.
	Refused       int `json:"refused"`
	RefusedButRan int `json:"refused_but_ran"`
	// AnsweredNotRan counts keys whose caller saw success while no leaf
	// had run them.
	AnsweredNotRan int `json:"answered_not_ran"`
}

// query is what is known of all sendings of one query.
type query struct {
	key      bool
	ran      int
	resent   bool
	refused  bool // every sending was answered "not run"
	answered bool // a sending got a complete or partial answer
}

// CheckExecutions compares samples with the leaves' records. ran returns how
// often all leaves together started a query.
func CheckExecutions(samples []Sample, services []Service, ran func(a Arrival) int) Executions {
	queries := map[int]*query{}
	for _, s := range samples {
		q, known := queries[s.Number]
		if !known {
			q = &query{key: services[s.Service].Key, ran: ran(s.Arrival), refused: true}
			queries[s.Number] = q
		}
		q.resent = q.resent || s.Resend
		q.refused = q.refused && s.Kind == NotRun
		q.answered = q.answered || s.Kind.Useful()
	}
	var e Executions
	for _, q := range queries {
		e.add(q)
	}
	return e
}

// add counts one query.
func (e *Executions) add(q *query) {
	if q.refused {
		e.Refused++
		if q.ran > 0 {
			e.RefusedButRan++
		}
	}
	if !q.key {
		return
	}
	e.Keys++
	if q.resent {
		e.Resends++
	}
	e.MaxPerKey = max(e.MaxPerKey, q.ran)
	if q.answered && q.ran == 0 {
		e.AnsweredNotRan++
	}
}

// Merge adds the counts of another run.
func (e *Executions) Merge(o Executions) {
	e.Keys += o.Keys
	e.Resends += o.Resends
	e.MaxPerKey = max(e.MaxPerKey, o.MaxPerKey)
	e.Refused += o.Refused
	e.RefusedButRan += o.RefusedButRan
	e.AnsweredNotRan += o.AnsweredNotRan
}
