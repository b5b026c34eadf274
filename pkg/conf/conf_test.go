package conf

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func sample(t testing.TB, half string) *Snapshot {
	t.Helper()
	raw, err := os.ReadFile("../../samples/" + half + ".json")
	assert.NilError(t, err)
	s, ps := DecodeSnapshot(raw)
	assert.NilError(t, ps.Err())
	return s
}

// clone returns a deep copy of s, made by encoding and decoding it.
func clone(t testing.TB, s *Snapshot) *Snapshot {
	t.Helper()
	raw, err := json.Marshal(s)
	assert.NilError(t, err)
	c, ps := DecodeSnapshot(raw)
	assert.NilError(t, ps.Err())
	return c
}

func edit[T any](m map[string]T, name string, f func(*T)) {
	v := m[name]
	f(&v)
	m[name] = v
}

func ptr[T any](v T) *T { return &v }

// assertProblem checks that ps holds exactly the problems in want, which has one
// line "kind name field" for each, and that each problem has a bound.
func assertProblem(t *testing.T, ps []Problem, want string) {
	t.Helper()
	got := []string{}
	for _, p := range ps {
		assert.Assert(t, p.Bound != "", "%v", p)
		got = append(got, fmt.Sprintf("%s %s %s", p.Kind, p.Name, p.Field))
	}
	assert.Equal(t, strings.Join(got, "\n"), want, "%v", Problems(ps))
}

// Guards against sample files that are invalid, have other numbers of domains,
// entry places and servers than the platform today, or do not match each other.
func TestSamples(t *testing.T) {
	for _, tc := range []struct {
		half    string
		domains int
		entries int
		servers map[string]int
	}{
		{"koysipaja", 4, 8, map[string]int{"/koysipaja/order": 14, "/koysipaja/intake": 4}},
		{"utility", 3, 6, map[string]int{"/utility/ledger": 14, "/utility/archive": 4}},
	} {
		t.Run(tc.half, func(t *testing.T) {
			s := sample(t, tc.half)
			assertProblem(t, Validate(s), "")
			assertProblem(t, ValidateChange(Empty(), s, start), "")
			servers, entries := map[string]int{}, 0
			for _, v := range s.Servers {
				servers[v.Service]++
			}
			for _, d := range s.Domains {
				entries += len(d.Entries)
			}
			assert.DeepEqual(t, servers, tc.servers)
			assert.Equal(t, len(s.Domains), tc.domains)
			assert.Equal(t, entries, tc.entries)
		})
	}
	raw, err := os.ReadFile("../../samples/process.json")
	assert.NilError(t, err)
	p, ps := DecodeProcess(raw)
	assert.NilError(t, ps.Err())
	s := sample(t, p.Half)
	assert.Equal(t, s.Domains[p.Domain].Entries[0], Entry{p.Entry, p.Data, p.Peer, p.Admin})
}

// Guards against a value that is inherited from the wrong ancestor, and against
// paths without a node that resolve.
func TestResolve(t *testing.T) {
	s := sample(t, "koysipaja")
	for _, tc := range []struct{ path, field, text, source string }{
		{"/", "slots", "2", "/"},
		{"/koysipaja", "epochTime", "2s", SourceDefault},
		{"/koysipaja/order", "attemptTime", "800ms", "/koysipaja/order"},
		{"/koysipaja/order/fi-south-a", "attemptTime", "400ms", "/koysipaja/order/fi-south-a"},
		{"/koysipaja/order/fi-south-b", "attemptTime", "800ms", "/koysipaja/order"},
		{"/koysipaja/order/fi-south-a", "connections", "2000", "/"},
	} {
		r, err := s.Resolve(tc.path)
		assert.NilError(t, err)
		for _, f := range Fields() {
			if f.Name == tc.field {
				assert.Equal(t, f.Text(&r), tc.text, tc.path)
			}
		}
		assert.Equal(t, r.Source[tc.field], tc.source, tc.path)
	}
	r, err := s.Resolve("/koysipaja/order/fi-south-b")
	assert.NilError(t, err)
	assert.Equal(t, r.ServiceID, ServiceID(11))
	for _, path := range []string{"", "x", "/x", "/koysipaja/x", "/koysipaja/order/yeka", "/koysipaja/order/fi-south-a/x"} {
		_, err := s.Resolve(path)
		var pe *PathError
		assert.Assert(t, err != nil, path)
		assert.ErrorType(t, err, pe)
	}
}

// Guards against an invalid snapshot that is accepted. Each case breaks one rule
// and expects exactly the problems of that rule.
func TestValidate(t *testing.T) {
	order := "/koysipaja/order"
	for _, tc := range []struct {
		want string
		edit func(*Snapshot)
	}{
		{"node /koysipaja/order slots", func(s *Snapshot) {
			edit(s.Nodes, order, func(n *Node) { n.Values.Slots = ptr(5000) })
		}},
		{"node /koysipaja/order freshFor", func(s *Snapshot) {
			edit(s.Nodes, order, func(n *Node) { n.Values.FreshFor = ptr(Duration(4 * time.Second)) })
		}},
		{"node /koysipaja/intake/fi-south-d coldSlots", func(s *Snapshot) {
			edit(s.Nodes, "/koysipaja/intake/fi-south-d", func(n *Node) { n.Values.ColdSlots = ptr(11) })
		}},
		{"node / maxClockSkew\nnode /koysipaja maxClockSkew", func(s *Snapshot) {
			edit(s.Nodes, "/", func(n *Node) {
				n.Values.MaxClockSkew = ptr(Duration(time.Second))
				n.Values.EpochTime = ptr(Duration(time.Second))
			})
			edit(s.Nodes, "/koysipaja", func(n *Node) { n.Values.MaxClockSkew = nil })
			for _, p := range []string{order, "/koysipaja/intake"} {
				edit(s.Nodes, p, func(n *Node) { n.Values.EpochTime = ptr(Duration(2 * time.Second)) })
			}
		}},
		{"node /koysipaja/order/fi-south-a attemptTime", func(s *Snapshot) {
			edit(s.Nodes, "/koysipaja/order/fi-south-a", func(n *Node) { n.Values.AttemptTime = ptr(Duration(5 * time.Second)) })
		}},
		{"node /koysipaja/order/yeka path", func(s *Snapshot) { s.Nodes[order+"/yeka"] = Node{Path: order + "/yeka"} }},
		{"node /koysipaja address", func(s *Snapshot) {
			edit(s.Nodes, "/koysipaja", func(n *Node) { n.Values.Address = ptr(netip.MustParseAddrPort("10.1.1.1:1")) })
		}},
		{"server spare addr", func(s *Snapshot) {
			v := s.Servers["order-02"]
			edit(s.Servers, "order-02", func(v *Server) { v.Mark, v.Since = MarkRemoved, start })
			v.ID, v.Name, v.Service, v.Since = 99, "spare", "/koysipaja/intake", start.Add(Quarantine-1)
			s.Servers["spare"] = v
		}},
		{"node /lost/x path", func(s *Snapshot) {
			s.Nodes["/lost/x"] = Node{Path: "/lost/x", Values: Values{ServiceID: ptr(ServiceID(9)), Address: ptr(netip.MustParseAddrPort("10.1.1.1:1"))}}
		}},
		{"node /koysipaja/order serviceId", func(s *Snapshot) {
			edit(s.Nodes, order, func(n *Node) { n.Values.ServiceID = ptr(ServiceID(12)) })
		}},
		{"node /koysipaja/order address", func(s *Snapshot) {
			edit(s.Nodes, order, func(n *Node) { n.Values.Address = s.Nodes["/koysipaja/intake"].Values.Address })
		}},
		{"domain fi-south-a mark", func(s *Snapshot) {
			edit(s.Domains, "fi-south-a", func(d *Domain) { d.Mark = "gone" })
		}},
		{"domain fi-south-b entries[0].name", func(s *Snapshot) {
			edit(s.Domains, "fi-south-b", func(d *Domain) { d.Entries[0].Name = "fi-south-a-1" })
		}},
		{"domain fi-south-b entries[0].data", func(s *Snapshot) {
			edit(s.Domains, "fi-south-b", func(d *Domain) { d.Entries[0].Data = s.Domains["fi-south-a"].Entries[0].Data })
		}},
		{"server order-02 id", func(s *Snapshot) {
			edit(s.Servers, "order-02", func(v *Server) { v.ID = s.Servers["order-01"].ID })
		}},
		{"server order-02 addr", func(s *Snapshot) {
			edit(s.Servers, "order-02", func(v *Server) { v.Addr = s.Servers["order-01"].Addr })
		}},
		{"server order-02 mark", func(s *Snapshot) {
			edit(s.Servers, "order-02", func(v *Server) { v.Mark = MarkOut })
		}},
		{"server order-02 since", func(s *Snapshot) {
			edit(s.Servers, "order-02", func(v *Server) { v.Mark = MarkLeaving })
		}},
		{"server order-02 service\nserver order-02 domain", func(s *Snapshot) {
			edit(s.Servers, "order-02", func(v *Server) { v.Service = "/utility/ledger" })
		}},
		{"key first secret", func(s *Snapshot) {
			edit(s.Keys, "first", func(k *Key) { k.Secret = k.Secret[:5] })
		}},
	} {
		t.Run(tc.want, func(t *testing.T) {
			s := sample(t, "koysipaja")
			tc.edit(s)
			assertProblem(t, Validate(s), tc.want)
		})
	}
}

// Guards against an address that moves to another service during its quarantine
// and against a key that seals tokens before every instance has it.
func TestValidateChange(t *testing.T) {
	now, ago := start, func(d time.Duration) time.Time { return start.Add(-d) }
	remove := func(since time.Time) func(*Snapshot) {
		return func(s *Snapshot) {
			edit(s.Servers, "order-02", func(v *Server) { v.Mark, v.Since = MarkRemoved, since })
		}
	}
	reuse := func(s *Snapshot) {
		v := s.Servers["intake-01"]
		v.ID, v.Name, v.Addr, v.Since = 99, "intake-09", s.Servers["order-02"].Addr, now
		s.Servers[v.Name] = v
	}
	addKey := func(lead time.Duration) func(*Snapshot) {
		return func(s *Snapshot) {
			k := s.Keys["first"]
			k.ID, k.SealFrom = 2, now.Add(lead)
			s.Keys["second"] = k
		}
	}
	none := func(*Snapshot) {}
	const intake = "/koysipaja/intake"
	vip := *sample(t, "koysipaja").Nodes[intake].Values.Address
	release := func(since time.Time) func(*Snapshot) {
		return func(s *Snapshot) {
			edit(s.Nodes, intake, func(n *Node) { n.Values.Address, n.Released = nil, []Release{{vip, since}} })
		}
	}
	claim := func(s *Snapshot) {
		edit(s.Nodes, "/koysipaja/order", func(n *Node) {
			n.Released = []Release{{*n.Values.Address, now}}
			n.Values.Address = &vip
		})
	}
	for _, tc := range []struct {
		name, want string
		old, next  func(*Snapshot)
	}{
		{"key in time", "", none, addKey(KeyLead)},
		{"key too soon", "key second sealFrom", none, addKey(KeyLead - 1)},
		{"reuse after quarantine", "", remove(ago(Quarantine)), reuse},
		// The snapshot and the change each report the same early reuse.
		{"reuse too soon", "server intake-09 addr\nserver intake-09 addr", remove(ago(Quarantine - 1)), reuse},
		{"reuse and delete at once", "server order-02 mark\nserver intake-09 addr", none, func(s *Snapshot) { reuse(s); delete(s.Servers, "order-02") }},
		{"delete after quarantine", "", remove(ago(Quarantine)), func(s *Snapshot) { delete(s.Servers, "order-02") }},
		{"delete too soon", "server order-02 mark", remove(ago(Quarantine - 1)), func(s *Snapshot) { delete(s.Servers, "order-02") }},
		{"remove", "", none, remove(now)},
		{"backdated removal", "server order-02 since", none, remove(ago(time.Minute))},
		{"removal time changed", "server order-02 since", remove(ago(1)), remove(ago(time.Minute))},
		{"address changed without removal", "server order-02 addr\nserver order-02 generation", none, func(s *Snapshot) {
			edit(s.Servers, "order-02", func(v *Server) { v.Addr = netip.MustParseAddrPort("10.20.9.9:1") })
		}},
		{"identifier reused", "server order-02 mark\nserver order-99 id", none, func(s *Snapshot) {
			v := s.Servers["order-02"]
			v.Name, v.Addr = "order-99", netip.MustParseAddrPort("10.20.9.9:1")
			s.Servers["order-99"] = v
			delete(s.Servers, "order-02")
		}},
		{"generation decreases", "node /koysipaja/order generation", none, func(s *Snapshot) {
			edit(s.Nodes, "/koysipaja/order", func(n *Node) { n.Generation = 0 })
		}},
		{"service identifier changed", "node /koysipaja/order serviceId", none, func(s *Snapshot) {
			edit(s.Nodes, "/koysipaja/order", func(n *Node) { n.Values.ServiceID = ptr(ServiceID(78)) })
		}},
		{"secret replaced", "key first secret", none, func(s *Snapshot) {
			edit(s.Keys, "first", func(k *Key) { k.Secret = make([]byte, 16) })
		}},
		{"address released", "", none, release(now)},
		{"address released without record", "node /koysipaja/intake released", none, release(time.Time{})},
		{"address claimed after quarantine", "", release(ago(Quarantine)), claim},
		{"address claimed too soon", "node /koysipaja/order address", release(ago(Quarantine - 1)), claim},
		{"release dropped too soon", "node /koysipaja/intake released", release(ago(Quarantine - 1)), func(s *Snapshot) {
			edit(s.Nodes, intake, func(n *Node) { n.Released, n.Values.Address = nil, ptr(netip.MustParseAddrPort("10.20.255.9:1")) })
		}},
		{"address moves at once", "node /koysipaja/order address", none, func(s *Snapshot) { release(now)(s); claim(s) }},
		{"service deleted too soon", "node /koysipaja/spare released", func(s *Snapshot) {
			s.Nodes["/koysipaja/spare"] = Node{Path: "/koysipaja/spare", Values: Values{
				ServiceID: ptr(ServiceID(77)), Address: ptr(netip.MustParseAddrPort("10.20.255.8:1"))}}
		}, func(s *Snapshot) { delete(s.Nodes, "/koysipaja/spare") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			old := sample(t, "koysipaja")
			tc.old(old)
			next := clone(t, old)
			tc.next(next)
			assertProblem(t, ValidateChange(old, next, now), tc.want)
		})
	}
}

// Guards against lenient decoding, with which a misspelled field or a wrong type
// would leave a value at its default without an error.
func TestDecode(t *testing.T) {
	for _, tc := range []struct{ raw, want, bound string }{
		{`{"values":{"slots":3}}`, "", ""},
		{`{"values":{"slot":3}}`, "node /a values.slot", "a known field"},
		{`{"values":{"Slots":3}}`, "node /a values.Slots", "a known field"},
		{`{"values":{"slots":3,"slots":4}}`, "node /a values", "each field once"},
		{`{"values":{"freshFor":3}}`, "node /a values.freshFor", `"250ms" between 500ms and 3.5s`},
		{`{"values":{"freshFor":"3"}}`, "node /a values.freshFor", "unit"},
		{`{"values":{"slots":null}}`, "node /a values.slots", "a value"},
		{`{"values":{"slots":"3"}}`, "node /a values.slots", "between 1 and 1024"},
		{`{"values":{}} x`, "node /a (whole value)", "data follows"},
		{`[]`, "node /a (whole value)", "object"},
	} {
		_, ps := Decode[Node](KindNode, "/a", []byte(tc.raw))
		assertProblem(t, ps, tc.want)
		if tc.want != "" {
			assert.Assert(t, strings.Contains(ps[0].Bound, tc.bound), "%v", ps[0])
			assert.ErrorContains(t, ps.Err(), `node "/a": field `)
		}
	}
	raw := strings.NewReplacer(`"warn"`, `"loud"`, "10.20.254.1:8080", "0.0.0.0:0").Replace(string(golden.Get(t, "../../../samples/process.json")))
	_, ps := DecodeProcess([]byte(raw))
	assertProblem(t, ps, "process fi-south-a-1 objectApi\nprocess fi-south-a-1 logs.member")
}

// Guards against objects that build a different snapshot, against an order of
// objects in which the settings are invalid after some of the writes, and against
// a change that also modifies the snapshot it was applied to.
func TestObjects(t *testing.T) {
	s := sample(t, "utility")
	objs, err := s.Objects()
	assert.NilError(t, err)
	built, ps := Build(s.Rev, objs)
	assert.NilError(t, ps.Err())
	assert.Equal(t, len(Diff(s, built)), 0)
	step := Empty()
	for i, o := range objs {
		o.Rev = uint64(i + 1)
		step, ps = step.With(o)
		assert.NilError(t, ps.Err())
		assertProblem(t, Validate(step), "")
	}
	deleted, ps := step.With(Object{Kind: KindServer, Name: "ledger-01", Rev: 500, Deleted: true})
	assert.NilError(t, ps.Err())
	assert.Equal(t, deleted.Rev, uint64(500))
	assert.Equal(t, len(step.Servers)-len(deleted.Servers), 1)
	same, ps := step.With(Object{Kind: "nodes", Name: "/"})
	assertProblem(t, ps, "nodes / kind")
	assert.Equal(t, same, step)
}

// Guards against differences that are not reported, and against secrets in the
// output.
func TestDiff(t *testing.T) {
	a := sample(t, "utility")
	b := clone(t, a)
	assert.Equal(t, len(Diff(a, b)), 0)
	edit(b.Nodes, "/", func(n *Node) { n.Values.Slots, n.Values.ColdSlots, n.Edit = ptr(4), ptr(1), "x" })
	edit(b.Keys, "first", func(k *Key) { k.Secret = make([]byte, 16) })
	delete(b.Nodes, "/utility/ledger/bole")
	got := ""
	for _, c := range Diff(a, b) {
		got += c.String() + "\n"
	}
	assert.Equal(t, got, `key first: secret: (hidden) -> (hidden)
node /: values.coldSlots: (absent) -> 1
node /: values.slots: 2 -> 4
node /utility/ledger/bole: generation: 1 -> (absent)
node /utility/ledger/bole: path: "/utility/ledger/bole" -> (absent)
node /utility/ledger/bole: values.attemptTime: "500ms" -> (absent)
node /utility/ledger/bole: values.coldTime: "10s" -> (absent)
`)
}

// Guards against a docs/settings.md that differs from the code.
func TestSchema(t *testing.T) {
	golden.Assert(t, Schema(), "../../../docs/settings.md")
}

// Guards against input that is decoded but changes when it is encoded and decoded
// again, and against panics during validation of any decoded settings.
func FuzzDecode(f *testing.F) {
	for _, half := range []string{"koysipaja", "utility"} {
		raw, err := os.ReadFile("../../samples/" + half + ".json")
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Add([]byte(`{"nodes":{"/a/b/c":{"path":"x","values":{"retryRatio":1e-9,"coldTime":"-1h"}}},"domains":{"c":{"entries":[{}]}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, ps := DecodeSnapshot(raw)
		if len(ps) > 0 {
			return
		}
		Validate(s)
		ValidateChange(s, s, start)
		objs, err := s.Objects()
		if err != nil {
			return // Times beyond the year 9999 decode but do not encode.
		}
		again, ps := Build(s.Rev, objs)
		assert.NilError(t, ps.Err())
		assert.Equal(t, len(Diff(s, again)), 0)
	})
}

// BenchmarkResolve also guards against allocations that grow with the number of
// fields: Resolve runs for every service and failure domain at each revision.
func BenchmarkResolve(b *testing.B) {
	s := sample(b, "utility")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Resolve("/utility/ledger/yeka"); err != nil {
			b.Fatal(err)
		}
	}
	const maxAllocs = 12 // for the source map, the list of paths and the result
	n := testing.AllocsPerRun(100, func() { _, _ = s.Resolve("/utility/ledger/yeka") })
	assert.Assert(b, n <= maxAllocs, "%v allocations", n)
}
