package conf

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Field describes one inherited value of the tree.
type Field struct {
	Name string
	// Unit is the unit of the value; a duration carries its unit itself.
	Unit string
	// Min, Max and Default are written as in a settings file.
	Min, Max, Default string
	Doc               string

	isSet   func(*Values) bool
	text    func(*Values) string
	within  func(*Values) bool
	reset   func(*Resolved)
	inherit func(*Resolved, *Values) bool
	final   func(*Resolved) string
}

// Bound says what values the field accepts.
func (f *Field) Bound() string {
	return fmt.Sprintf("between %s and %s (%s)", f.Min, f.Max, f.Unit)
}

// Text returns the resolved value as text.
func (f *Field) Text(r *Resolved) string { return f.final(r) }

func field[T cmp.Ordered](name, unit string, lo, hi, def T, doc string,
	at func(*Values) **T, out func(*Resolved) *T,
) Field {
	return Field{
		Name: name, Unit: unit, Doc: doc,
		Min: fmt.Sprint(lo), Max: fmt.Sprint(hi), Default: fmt.Sprint(def),
		isSet:  func(v *Values) bool { return *at(v) != nil },
		text:   func(v *Values) string { return fmt.Sprint(**at(v)) },
		within: func(v *Values) bool { return **at(v) >= lo && **at(v) <= hi },
		reset:  func(r *Resolved) { *out(r) = def },
		inherit: func(r *Resolved, v *Values) bool {
			p := *at(v)
			if p != nil {
				*out(r) = *p
			}
			return p != nil
		},
		final: func(r *Resolved) string { return fmt.Sprint(*out(r)) },
	}
}

func span(name string, lo, hi, def time.Duration, doc string,
	at func(*Values) **Duration, out func(*Resolved) *time.Duration,
) Field {
	return field(name, "duration", Duration(lo), Duration(hi), Duration(def), doc, at,
		func(r *Resolved) *Duration { return (*Duration)(out(r)) })
}

// fields is made once, because Resolve runs for every path at each revision.
var fields = makeFields()

// Fields returns the inherited values with their ranges and defaults.
func Fields() []Field { return slices.Clone(fields) }

func makeFields() []Field {
	return []Field{
		field("slots", "requests at once", 1, 1024, 2,
			"Requests that one server runs at once.",
			func(v *Values) **int { return &v.Slots }, func(r *Resolved) *int { return &r.Slots }),
		field("connections", "flows", 1, 1000000, 2000,
			"Flows that one server holds at once.",
			func(v *Values) **int { return &v.Connections }, func(r *Resolved) *int { return &r.Connections }),
		field("coldSlots", "requests at once", 1, 1024, 1,
			"Requests that one server in cold start bears at once, from all instances together.",
			func(v *Values) **int { return &v.ColdSlots }, func(r *Resolved) *int { return &r.ColdSlots }),
		field("coldFlows", "new flows a second", 1, 100000, 20,
			"New flows a second that one server in cold start bears, from all instances together.",
			func(v *Values) **int { return &v.ColdFlows }, func(r *Resolved) *int { return &r.ColdFlows }),
		span("coldTime", 0, time.Hour, 20*time.Second,
			"Shortest time a server spends in each stage of its cold start.",
			func(v *Values) **Duration { return &v.ColdTime }, func(r *Resolved) *time.Duration { return &r.ColdTime }),
		span("requestTime", 10*time.Millisecond, 10*time.Minute, 10*time.Second,
			"Time from a request's arrival to its deadline when the caller sets none.",
			func(v *Values) **Duration { return &v.RequestTime }, func(r *Resolved) *time.Duration { return &r.RequestTime }),
		span("attemptTime", 5*time.Millisecond, 10*time.Minute, 2*time.Second,
			"Time without an answer after which a request that may be repeated is retried. At most requestTime.",
			func(v *Values) **Duration { return &v.AttemptTime }, func(r *Resolved) *time.Duration { return &r.AttemptTime }),
		field("retryRatio", "retries per request", 0, 0.5, 0.1,
			"Retries as a share of requests.",
			func(v *Values) **float64 { return &v.RetryRatio }, func(r *Resolved) *float64 { return &r.RetryRatio }),
		span("freshFor", 500*time.Millisecond, 3500*time.Millisecond, 3*time.Second,
			"How long a confirmation of the settings lets an instance send across failure domains.",
			func(v *Values) **Duration { return &v.FreshFor }, func(r *Resolved) *time.Duration { return &r.FreshFor }),
		span("identityTtl", 200*time.Millisecond, 4*time.Second, 2*time.Second,
			"How long a server's confirmation of its identity lets an instance send to its address.",
			func(v *Values) **Duration { return &v.IdentityTTL }, func(r *Resolved) *time.Duration { return &r.IdentityTTL }),
		span("ticketTime", time.Second, 30*time.Second, 30*time.Second,
			"Lifetime of a request ticket. A stopping instance waits this long.",
			func(v *Values) **Duration { return &v.TicketTime }, func(r *Resolved) *time.Duration { return &r.TicketTime }),
		span("maxClockSkew", time.Millisecond, time.Second, 100*time.Millisecond,
			"Largest difference from the peers' median clock with which an instance sends to cold servers. Below epochTime.",
			func(v *Values) **Duration { return &v.MaxClockSkew }, func(r *Resolved) *time.Duration { return &r.MaxClockSkew }),
		field("queuePerSlot", "requests per slot", 0, 64, 2,
			"Requests that may wait at a server for each of its slots.",
			func(v *Values) **int { return &v.QueuePerSlot }, func(r *Resolved) *int { return &r.QueuePerSlot }),
		field("maxPending", "requests", 1, 1000000, 65536,
			"Requests that one instance remembers at once.",
			func(v *Values) **int { return &v.MaxPending }, func(r *Resolved) *int { return &r.MaxPending }),
		span("flowIdle", time.Second, 24*time.Hour, 10*time.Minute,
			"Time without a packet after which an instance forgets a flow.",
			func(v *Values) **Duration { return &v.FlowIdle }, func(r *Resolved) *time.Duration { return &r.FlowIdle }),
		span("epochTime", 500*time.Millisecond, 30*time.Second, 2*time.Second,
			"Length of an epoch of the cold-start quotas.",
			func(v *Values) **Duration { return &v.EpochTime }, func(r *Resolved) *time.Duration { return &r.EpochTime }),
	}
}
