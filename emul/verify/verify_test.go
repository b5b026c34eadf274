package verify_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/emul/caller"
	"ebonypaddle/emul/server"
	"ebonypaddle/emul/verify"
	"ebonypaddle/pkg/conf"
)

var begin = time.UnixMilli(1_700_000_000_000)

func at(sec float64) time.Time { return begin.Add(time.Duration(sec * float64(time.Second))) }

func event(sec float64, kind string, args ...string) verify.Event {
	return verify.Event{At: at(sec), Kind: kind, Args: args}
}

// sample returns a sample of two servers: server 1 in domain a, which is set to
// leaving, and server 2 in domain b, which is taken out. bytesOut drives the
// counters of instance a-1.
func sample(sec float64, bytesOut uint64) verify.Sample {
	return verify.Sample{
		At: at(sec),
		Instances: map[string]verify.Vars{
			"a-1": {Refused: map[string]uint64{"coldLimit": bytesOut / 100}, Control: map[string]uint64{"peerBytesOut": bytesOut, "peerBytesIn": 2 * bytesOut}},
			"b-1": {Settings: map[string]uint64{"rev": 7}},
		},
		Servers: []verify.Server{{ID: 1, Runs: 100, Flows: 3}, {ID: 2, Runs: 60, LastPacket: at(21)}},
	}
}

// passingRun returns a run in which every requirement held.
func passingRun() *verify.Run {
	id := conf.ServiceID(7)
	ms := conf.Duration(time.Millisecond)
	return &verify.Run{
		Settings: &conf.Snapshot{
			Nodes: map[string]conf.Node{"/k/order": {Values: conf.Values{ServiceID: &id}}},
			Servers: map[string]conf.Server{
				"s1": {ID: 1, Domain: "a"}, "s2": {ID: 2, Domain: "b"},
			},
		},
		Servers: []server.Config{{Service: 7, ID: 1, Slots: 2, Mean: ms}, {Service: 7, ID: 2, Slots: 2, Mean: 4 * ms}},
		Reports: map[string]*caller.Report{"order": {
			Flows: 10, Outcomes: map[string]uint64{"done": 150}, OnceRuns: map[int]uint64{0: 1, 1: 50}, Broken: map[string]uint64{"domainOut": 2},
			Unknown: []caller.UnknownRequest{{Sent: at(1), Ended: at(2)}},
		}},
		Samples: []verify.Sample{sample(0, 1000), sample(14.5, 2000), sample(17, 3000), sample(27, 500), sample(30, 800)},
		Events: []verify.Event{
			event(5, verify.InstanceStop, "a-1"), event(9, verify.InstanceStopped, "a-1"),
			event(10, verify.ServerLeave, "s1"), event(18, verify.ServerReturn, "s1"),
			event(20, verify.DomainOut, "b"), event(28, verify.DomainBack, "b"),
			event(29, verify.SettingForce, "setting", "0", "3.9"),
		},
		Expect: []string{verify.InstanceStop, verify.ServerLeave, verify.DomainOut, verify.SettingForce},
	}
}

func failedChecks(r *verify.Run) []int {
	var out []int
	for _, c := range r.Verify() {
		if !c.OK {
			out = append(out, c.Requirement)
		}
	}
	return out
}

// Guards against a check that passes whatever happened: each case breaks one
// thing in a run in which every requirement held.
func TestVerify(t *testing.T) {
	assert.Equal(t, len(failedChecks(passingRun())), 0, "%v", passingRun().Verify())
	unannounced := passingRun()
	unannounced.Events = append(unannounced.Events, event(29.5, verify.ServerCold, "2"))
	unannounced.Samples[4].Servers[1].ColdExcess = 3
	assert.Equal(t, len(failedChecks(unannounced)), 0, "%v", unannounced.Verify())
	for _, tc := range []struct {
		name     string
		breakRun func(*verify.Run)
		want     []int
	}{
		{"no sample", func(r *verify.Run) { r.Samples = nil }, []int{0}},
		{"no report", func(r *verify.Run) { r.Reports = nil }, []int{0}},
		{"no flow", func(r *verify.Run) { r.Reports["order"].Flows = 0 }, []int{0}},
		{"flow not opened", func(r *verify.Run) { r.Reports["order"].NotOpened = 1 }, []int{0}},
		{"no request done", func(r *verify.Run) { delete(r.Reports["order"].Outcomes, "done") }, []int{0}},
		{"event missing", func(r *verify.Run) { r.Expect = append(r.Expect, verify.ObjectAPIDown) }, []int{0}},
		{"broken flow", func(r *verify.Run) { r.Reports["order"].Broken["stalled"] = 1 }, []int{1}},
		{"domainOut closes without a domain out", func(r *verify.Run) { r.Events, r.Expect = r.Events[:4], nil }, []int{1}},
		{"misrouted packet", func(r *verify.Run) { r.Samples[4].Servers[0].Misrouted = 1 }, []int{2}},
		{"cold server fell over", func(r *verify.Run) { r.Samples[4].Servers[1].FellOver = 1 }, []int{3}},
		{"excess in cold start", func(r *verify.Run) { r.Samples[4].Servers[1].ColdExcess = 1 }, []int{3}},
		{"unannounced cold start and fell over", func(r *verify.Run) {
			r.Events = append(r.Events, event(29.5, verify.ServerCold, "2"))
			r.Samples[4].Servers[1].ColdExcess, r.Samples[4].Servers[1].FellOver = 1, 1
		}, []int{3}},
		{"late packet to a domain out", func(r *verify.Run) { r.Samples[3].Servers[1].LastPacket = at(24.5) }, []int{4}},
		{"no sample of the domain out", func(r *verify.Run) { r.Samples[3].At = at(29) }, []int{4}},
		{"failed check of the caller", func(r *verify.Run) { r.Reports["order"].Failed = 1 }, []int{5}},
		{"second run", func(r *verify.Run) { r.Reports["order"].OnceRuns[2] = 1 }, []int{7}},
		{"new request on a leaving server", func(r *verify.Run) { r.Samples[2].Servers[0].Runs++ }, []int{8}},
		{"new flow on a leaving server", func(r *verify.Run) { r.Samples[2].Servers[0].Flows++ }, []int{8}},
		{"one sample of a leaving server", func(r *verify.Run) { r.Samples[1].At = at(12) }, []int{8}},
		{"request interrupted by a stop", func(r *verify.Run) { r.Reports["order"].Unknown[0].Ended = at(6) }, []int{9}},
		{"settings went back", func(r *verify.Run) {
			for i, rev := range []uint64{7, 8, 8, 7, 8} {
				r.Samples[i].Instances["b-1"] = verify.Vars{Settings: map[string]uint64{"rev": rev}}
			}
		}, []int{10}},
		{"no revision known", func(r *verify.Run) {
			for _, s := range r.Samples {
				s.Instances["b-1"] = verify.Vars{}
			}
		}, []int{10}},
		{"setting in force late", func(r *verify.Run) { r.Events[6].Args[2] = "4.1" }, []int{10}},
		{"setting not in force", func(r *verify.Run) { r.Events[6].Args[1] = "5" }, []int{10}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := passingRun()
			tc.breakRun(r)
			assert.DeepEqual(t, failedChecks(r), tc.want)
			_, ok := r.Text(r.Verify())
			assert.Assert(t, !ok)
		})
	}
}

// Guards against counters that are lost, or counted twice, when a new process
// starts at an entry place, and against a utilisation that ignores the speed of
// a server.
func TestText(t *testing.T) {
	r := passingRun()
	text, ok := r.Text(r.Verify())
	assert.Assert(t, ok)
	for _, part := range []string{
		"refusals                  map[coldLimit:38]", // 30 of one process and 8 of the next
		"a-1 115/230", // (2000 + 300) bytes in (17 + 3) s
		"imbalance                 1.41 highest/mean utilisation, /k/order",
		"flows closed, domain out  2", "broken flows by cause     map[]",
	} {
		assert.Assert(t, strings.Contains(text, part), "%q is not in:\n%s", part, text)
	}
}

// Guards against event lines that are misread or skipped.
func TestParseEvents(t *testing.T) {
	es, err := verify.ParseEvents("1700000000.500000 force x 0 1.5\n1700000001.0 down\n")
	assert.NilError(t, err)
	assert.DeepEqual(t, es, []verify.Event{event(0.5, verify.SettingForce, "x", "0", "1.5"), {At: at(1), Kind: verify.ObjectAPIDown, Args: []string{}}})
	for _, bad := range []string{"", "down", "soon down"} {
		_, err := verify.ParseEvents(bad)
		assert.Assert(t, err != nil, bad)
	}
}

// Guards against a sample that fails because one instance is down, and against
// one that leaves out the servers.
func TestCollect(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/vars", func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Header.Get("Authorization") == "Bearer key")
		_, _ = w.Write([]byte(`{"cmdline":["x"],"refused":{"coldLimit":3},"control":{"peerBytesOut":9}}`))
	})
	mux.HandleFunc("/records", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode([]server.Report{{ID: 4, Flows: 2, Records: []server.Record{{Runs: 1}, {Runs: 2}}}})
	})
	mux.HandleFunc("/broken", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("[]"))
	})
	srv := httptest.NewServer(mux)
	defer srv.Close()
	c := verify.Collector{
		Key: "key", Clock: func() time.Time { return begin }, HTTP: srv.Client(), Records: []string{srv.URL + "/records"},
		Instances: map[string]string{"up": strings.TrimPrefix(srv.URL, "http://"), "down": "127.0.0.1:1"},
	}
	s, err := c.Collect(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, *s, verify.Sample{
		At:        begin,
		Instances: map[string]verify.Vars{"up": {Refused: map[string]uint64{"coldLimit": 3}, Control: map[string]uint64{"peerBytesOut": 9}}},
		Servers:   []verify.Server{{ID: 4, Flows: 2, Runs: 3}},
	})
	c.Records = []string{srv.URL + "/broken"}
	_, err = c.Collect(context.Background())
	assert.Assert(t, err != nil)
}
