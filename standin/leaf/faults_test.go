package leaf

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

func TestServiceTimes(t *testing.T) {
	s := base()
	s.Service = Service{MeanUS: 1000, Distribution: Fixed, ColdMS: 1000, ColdFactor: 5}
	bubble(t, s, func(t *testing.T, s *Server) {
		took := func() time.Duration {
			began := time.Now()
			run(t, s, ask{})
			return time.Since(began)
		}
		if d := took(); d != 5*time.Millisecond {
			t.Errorf("cold: %s", d)
		}
		time.Sleep(495 * time.Millisecond)
		if d := took(); d != 3*time.Millisecond {
			t.Errorf("half warm: %s", d)
		}
		time.Sleep(time.Second)
		mustPatch(t, s, PathSettings, `{"service":{"straggler_share":1,"straggler_factor":10},"network_us":2000}`)
		if d := took(); d != 14*time.Millisecond {
			t.Errorf("straggler with the network both ways: %s", d)
		}
		mustPatch(t, s, PathSettings, `{"service":{"distribution":"exponential","straggler_share":0.05},"network_us":0}`)
		var total time.Duration
		for range 20_000 {
			total += took()
		}
		if mean := total / 20_000; mean < 1400*time.Microsecond || mean > 1500*time.Microsecond {
			t.Errorf("mean %s, want near 1.45 ms", mean)
		}
	})
}

func TestReplyFaults(t *testing.T) {
	bubble(t, base(), func(t *testing.T, s *Server) {
		first := run(t, s, ask{attempt: "1"})
		mustPatch(t, s, PathFaults, `{"replies":{"repeated":{"next":1}}}`)
		repeated := run(t, s, ask{attempt: "2", body: "other"})
		if repeated.header.Get(leafapi.HeaderAttempt) != "1" || !bytes.Equal(repeated.body, first.body) {
			t.Errorf("repeated reply %+v", repeated)
		}
		mustPatch(t, s, PathFaults, `{"replies":{"truncated":{"next":1}}}`)
		cut := run(t, s, ask{})
		length, _ := strconv.Atoi(cut.header.Get("Content-Length"))
		if !cut.aborted || len(cut.body) == 0 || len(cut.body) >= length {
			t.Errorf("truncated reply %+v", cut)
		}
		mustPatch(t, s, PathFaults, `{"replies":{"wrong_checksum":{"next":1}}}`)
		if a := run(t, s, ask{}); a.header.Get(leafapi.HeaderChecksum) == Hash(a.body) {
			t.Error("the checksum is right")
		}
		mustPatch(t, s, PathFaults, `{"replies":{"overlapping":{"share":1}}}`)
		ranges, err := keyrange.ParseList(run(t, s, ask{}).header.Get(leafapi.HeaderRanges))
		if err != nil || len(ranges) != 2 || !ranges[0].Overlaps(ranges[1]) {
			t.Errorf("ranges %v, %v", ranges, err)
		}
		mustPatch(t, s, PathFaults, `{"replies":{"overlapping":{"share":0},"late":{"next":1},"late_ms":50}}`)
		began := time.Now()
		run(t, s, ask{})
		if took := time.Since(began); took != 60*time.Millisecond {
			t.Errorf("late reply took %s", took)
		}
		if st := s.Stats(); st.Completed != 6 || st.BusyUS != 60_000 {
			t.Errorf("faults of replies changed the work: %+v", st)
		}
	})
}

func TestCrossedReplies(t *testing.T) {
	s := base()
	s.Slots = 2
	bubble(t, s, func(t *testing.T, s *Server) {
		mustPatch(t, s, PathFaults, `{"replies":{"crossed":{"next":1}}}`)
		asks := start(t, s, ask{attempt: "1", body: "one"}, ask{attempt: "2", body: "two"})
		for i, other := range []string{"2", "1"} {
			if a := <-asks[i]; a.header.Get(leafapi.HeaderAttempt) != other {
				t.Errorf("request %d got the reply to %s", i+1, a.header.Get(leafapi.HeaderAttempt))
			}
		}
		mustPatch(t, s, PathFaults, `{"replies":{"crossed":{"next":1}}}`)
		if a := run(t, s, ask{attempt: "alone"}); a.header.Get(leafapi.HeaderAttempt) != "alone" {
			t.Errorf("a lone reply became %+v", a)
		}
	})
}

func TestHintsMislead(t *testing.T) {
	bubble(t, base(), func(t *testing.T, s *Server) {
		hints := func() (h leafapi.Health, l leafapi.Load) {
			get := func(path string, v any) {
				r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil)
				if err := json.Unmarshal(serve(s, r).body, v); err != nil {
					t.Fatal(err)
				}
			}
			get(leafapi.PathHealth, &h)
			get(leafapi.PathLoad, &l)
			return h, l
		}
		mustPatch(t, s, PathFaults, `{"lag_ms":1000}`)
		hints()
		asks := start(t, s, ask{deadline: 60_000}, ask{})
		mustPatch(t, s, PathFaults, `{"frozen":true}`)
		mustPatch(t, s, PathFaults, `{"frozen":false,"draining":true}`)
		if h, l := hints(); l.InFlight != 0 || h.Draining {
			t.Errorf("no lag: %+v %+v", h, l)
		}
		mustPatch(t, s, PathFaults, `{"lag_ms":0}`)
		if h, l := hints(); l.InFlight != 1 || l.Queued != 1 || !h.Draining || h.Ready {
			t.Errorf("not the truth: %+v %+v", h, l)
		}
		mustPatch(t, s, PathFaults, `{"health":{"id":"x","ready":true},"load":{"in_flight":42}}`)
		if h, l := hints(); l.InFlight != 42 || !h.Ready || h.Draining {
			t.Errorf("not the lie: %+v %+v", h, l)
		}
		<-asks[0]
		<-asks[1]
	})
}

func TestWrongSettingsNameTheField(t *testing.T) {
	bubble(t, base(), func(t *testing.T, s *Server) {
		for field, body := range map[string]string{
			"slots":                `{"slots":0}`,
			"service.distribution": `{"service":{"distribution":"normal"}}`,
			"versions":             `{"versions":[]}`,
			"ranges":               `{"ranges":[{"from":0,"to":10},{"from":5,"to":20}]}`,
			"no_such":              `{"no_such":1}`,
		} {
			if a := patch(t, s, PathSettings, body); a.status != 400 || !bytes.Contains(a.body, []byte(field)) {
				t.Errorf("%s: %d %s", field, a.status, a.body)
			}
		}
		if a := patch(t, s, PathFaults, `{"replies":{"late":{"share":2}}}`); !bytes.Contains(a.body, []byte("replies.late.share")) {
			t.Errorf("%d %s", a.status, a.body)
		}
		if a := run(t, s, ask{asked: "9-1"}); a.status != 400 || !bytes.Contains(a.body, []byte(leafapi.HeaderRange)) {
			t.Errorf("%d %s", a.status, a.body)
		}
	})
}
