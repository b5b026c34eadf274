package conf

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Field describes one inherited value of the settings tree.
type Field struct {
	Name string
	// Unit is the unit of the value, or "duration", whose text has a unit.
	Unit string
	// Min, Max and Default are texts as in a settings file.
	Min, Max, Default string
	Doc               string

	isSet        func(*Values) bool
	valueText    func(*Values) string
	inRange      func(*Values) bool
	setDefault   func(*Resolved)
	inherit      func(*Resolved, *Values) bool
	resolvedText func(*Resolved) string
}

// Bound describes the accepted values, as text for Problem.Bound.
func (f *Field) Bound() string {
	return fmt.Sprintf("between %s and %s (%s)", f.Min, f.Max, f.Unit)
}

// Text returns the resolved value as text.
func (f *Field) Text(r *Resolved) string { return f.resolvedText(r) }

func newField[T cmp.Ordered](name, unit string, lo, hi, def T, doc string,
	valuePtr func(*Values) **T, resolvedPtr func(*Resolved) *T,
) Field {
	return Field{
		Name: name, Unit: unit, Doc: doc,
		Min: fmt.Sprint(lo), Max: fmt.Sprint(hi), Default: fmt.Sprint(def),
		isSet:      func(v *Values) bool { return *valuePtr(v) != nil },
		valueText:  func(v *Values) string { return fmt.Sprint(**valuePtr(v)) },
		inRange:    func(v *Values) bool { return **valuePtr(v) >= lo && **valuePtr(v) <= hi },
		setDefault: func(r *Resolved) { *resolvedPtr(r) = def },
		inherit: func(r *Resolved, v *Values) bool {
			p := *valuePtr(v)
			if p != nil {
				*resolvedPtr(r) = *p
			}
			return p != nil
		},
		resolvedText: func(r *Resolved) string { return fmt.Sprint(*resolvedPtr(r)) },
	}
}

func newDurationField(name string, lo, hi, def time.Duration, doc string,
	valuePtr func(*Values) **Duration, resolvedPtr func(*Resolved) *time.Duration,
) Field {
	return newField(name, "duration", Duration(lo), Duration(hi), Duration(def), doc, valuePtr,
		func(r *Resolved) *Duration { return (*Duration)(resolvedPtr(r)) })
}

// fields is created once, because Resolve uses it for every path at each
// revision.
var fields = makeFields()

// Fields returns the inherited values with their ranges and defaults.
func Fields() []Field { return slices.Clone(fields) }

func makeFields() []Field {
	return []Field{
		newField("slots", "requests at once", 1, 1024, 2,
			"Requests that one server runs at once.",
			func(v *Values) **int { return &v.Slots }, func(r *Resolved) *int { return &r.Slots }),
		newField("connections", "flows", 1, 1000000, 2000,
			"Flows that one server holds at once.",
			func(v *Values) **int { return &v.Connections }, func(r *Resolved) *int { return &r.Connections }),
		newField("coldSlots", "requests at once", 1, 1024, 1,
			"Limit of requests at once for one server in cold start, from all instances together.",
			func(v *Values) **int { return &v.ColdSlots }, func(r *Resolved) *int { return &r.ColdSlots }),
		newField("coldFlows", "new flows a second", 1, 100000, 20,
			"Limit of new flows a second for one server in cold start, from all instances together.",
			func(v *Values) **int { return &v.ColdFlows }, func(r *Resolved) *int { return &r.ColdFlows }),
		newDurationField("coldTime", 0, time.Hour, 20*time.Second,
			"Shortest time a server spends in each stage of its cold start.",
			func(v *Values) **Duration { return &v.ColdTime }, func(r *Resolved) *time.Duration { return &r.ColdTime }),
		newDurationField("requestTime", 10*time.Millisecond, 10*time.Minute, 10*time.Second,
			"Time from a request's arrival to its deadline when the caller sets none.",
			func(v *Values) **Duration { return &v.RequestTime }, func(r *Resolved) *time.Duration { return &r.RequestTime }),
		newDurationField("attemptTime", 5*time.Millisecond, 10*time.Minute, 2*time.Second,
			"Time without an answer after which a request that may be repeated is retried. At most requestTime.",
			func(v *Values) **Duration { return &v.AttemptTime }, func(r *Resolved) *time.Duration { return &r.AttemptTime }),
		newField("retryRatio", "retries per request", 0, 0.5, 0.1,
			"Limit of retries as a share of requests.",
			func(v *Values) **float64 { return &v.RetryRatio }, func(r *Resolved) *float64 { return &r.RetryRatio }),
		newDurationField("freshFor", 500*time.Millisecond, 3500*time.Millisecond, 3*time.Second,
			"How long an instance may send across failure domains after its settings were confirmed.",
			func(v *Values) **Duration { return &v.FreshFor }, func(r *Resolved) *time.Duration { return &r.FreshFor }),
		newDurationField("identityTtl", 200*time.Millisecond, 4*time.Second, 2*time.Second,
			"How long an instance may send to a server's address after the server confirmed its identity.",
			func(v *Values) **Duration { return &v.IdentityTTL }, func(r *Resolved) *time.Duration { return &r.IdentityTTL }),
		newDurationField("ticketTime", time.Second, 30*time.Second, 30*time.Second,
			"Lifetime of a request ticket. A stopping instance waits this long.",
			func(v *Values) **Duration { return &v.TicketTime }, func(r *Resolved) *time.Duration { return &r.TicketTime }),
		newDurationField("maxClockSkew", time.Millisecond, time.Second, 100*time.Millisecond,
			"Largest difference between an instance's clock and the median clock of its peers at which it sends to servers in cold start. Below epochTime.",
			func(v *Values) **Duration { return &v.MaxClockSkew }, func(r *Resolved) *time.Duration { return &r.MaxClockSkew }),
		newField("queuePerSlot", "requests per slot", 0, 64, 2,
			"Requests that may wait at a server for each of its slots.",
			func(v *Values) **int { return &v.QueuePerSlot }, func(r *Resolved) *int { return &r.QueuePerSlot }),
		newField("maxPending", "requests", 1, 1000000, 65536,
			"Requests that one instance tracks at once.",
			func(v *Values) **int { return &v.MaxPending }, func(r *Resolved) *int { return &r.MaxPending }),
		newDurationField("flowIdle", time.Second, 24*time.Hour, 10*time.Minute,
			"Time without a packet after which an instance removes a flow.",
			func(v *Values) **Duration { return &v.FlowIdle }, func(r *Resolved) *time.Duration { return &r.FlowIdle }),
		newDurationField("epochTime", 500*time.Millisecond, 30*time.Second, 2*time.Second,
			"Length of an epoch of the cold-start quotas.",
			func(v *Values) **Duration { return &v.EpochTime }, func(r *Resolved) *time.Duration { return &r.EpochTime }),
	}
}
