package leafclient

import "testing"

// TestOnlyProvenResponseIsTheRequestsOwn checks the origin of responses, by what the connection has
// carried before.
func TestOnlyProvenResponseIsTheRequestsOwn(t *testing.T) {
	carried := func(ids ...string) (h history) {
		for _, id := range ids {
			h.add(id)
		}
		return h
	}
	for _, tc := range []struct {
		name    string
		history history
		ids     []string
		own     string
		want    origin
		why     DiscardReason
	}{
		{"leaves echo the request's ID: first on its connection", history{}, []string{"q"}, "q", originOwn, ""},
		{"leaves echo the request's ID: on a used connection", carried("a", "b"), []string{"q"}, "q", originOwn, ""},
		{"the same ID twice", carried("a"), []string{"q", "q"}, "q", originOwn, ""},
		{"two IDs", carried("a"), []string{"q", "a"}, "q", originUnknown, DiscardOtherRequest},
		{"a late second response, known by its ID", carried("a", "b"), []string{"a"}, "q", originEarlier, DiscardOtherRequest},
		{"an ID that the connection never carried", carried("a"), []string{"x"}, "q", originUnknown, DiscardOtherRequest},
		{"another ID on a new connection", history{}, []string{"a"}, "q", originUnknown, DiscardOtherRequest},
		{"no ID, nothing else was asked on the connection", history{}, nil, "q", originOwn, ""},
		{"no ID on a used connection", carried("a"), nil, "q", originUnknown, DiscardUnproven},
		{"no ID, bytes arrived before the request was sent", history{unsolicited: true}, nil, "q", originUnknown, DiscardUnproven},
		{"bytes before the request, the ID proves the response", history{unsolicited: true}, []string{"q"}, "q", originOwn, ""},
		{"a request that is sent again on its connection", carried("q"), []string{"q"}, "q", originUnknown, DiscardUnproven},
		{"a request without an ID on a used connection", carried("a"), nil, "", originUnknown, DiscardUnproven},
		{"an empty ID", carried("a"), []string{""}, "q", originUnknown, DiscardOtherRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got, why := tc.history.originOf(tc.ids, tc.own); got != tc.want || why != tc.why {
				t.Errorf("origin %v, %q, want %v, %q", got, why, tc.want, tc.why)
			}
		})
	}
}

// TestHistoryIsBounded checks that a connection remembers the latest IDs only.
func TestHistoryIsBounded(t *testing.T) {
	var h history
	for i := range 10 * maxRecentIDs {
		h.add(string(rune('A' + i)))
	}
	if len(h.recent) != maxRecentIDs || h.requests != 10*maxRecentIDs || h.carried("A") {
		t.Errorf("%d IDs of %d requests", len(h.recent), h.requests)
	}
}
