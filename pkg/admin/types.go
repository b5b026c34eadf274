package admin

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
)

// Paths of the services.
const (
	pullPath   = "/ebonypaddle.Settings/Pull"
	statusPath = "/ebonypaddle.Operator/Status"
	watchPath  = "/ebonypaddle.Operator/Watch"
	notifyPath = "/ebonypaddle.Operator/Notify"
	// countersPath serves the counters over plain HTTP at the path where
	// monitoring expects them.
	countersPath = "/debug/vars"
	// settingsPath serves all settings of the instance to operators.
	settingsPath = "/ebonypaddle.Operator/Settings"
)

const (
	// maxRequestBytes bounds a request. The largest one, a Change, is far
	// smaller.
	maxRequestBytes = 64 << 10
	// MaxResponseBytes bounds a response. The largest one holds all settings.
	MaxResponseBytes = 64 << 20
)

// PullRequest requests the changes to the settings since revision Since.
type PullRequest struct {
	Since uint64
}

// PullResponse holds the revision of the answering instance and an encoded
// dist.Delta, which is empty if there are no changes.
type PullResponse struct {
	Rev   uint64
	Delta []byte
}

// SettingsRequest requests all settings of the instance.
type SettingsRequest struct{}

// StatusRequest requests the state of the instance.
type StatusRequest struct{}

// Status is the state of an instance and its view of the other members.
type Status struct {
	// Entry is the name of the instance's entry in the settings, Self its peer
	// address, Domain its failure domain and Rev the revision of its settings.
	Entry  string
	Self   netip.AddrPort
	Domain string
	Rev    uint64
	// CrossUntil is the time until which the instance may send to other failure
	// domains, zero if it may not.
	CrossUntil time.Time
	// FreshFor is the time left until CrossUntil by the instance's own clock.
	// At 0 the instance uses only the servers of its own domain.
	FreshFor time.Duration
	// ClockSkew is how far the median of the members' clocks is ahead of this
	// instance's clock. It is nil while no member has answered.
	ClockSkew *time.Duration
	Members   []Member
	// Servers holds the lifecycle state of each backend server by name.
	Servers map[string]string
	// Flows counts the flows that this instance has opened.
	Flows uint64
	// Counters holds stats.Counters.Map.
	Counters map[string]uint64
}

// Member is an entry of the instance's membership table.
type Member struct {
	Addr    netip.AddrPort
	Domain  string
	State   string
	Leaving bool
	Rev     uint64
}

// WatchRequest requests the progress of revision Rev until it is in force
// everywhere.
type WatchRequest struct {
	Rev uint64
}

// Progress reports how far a revision has been distributed in the half of the
// answering instance. An entry of the settings stands for its instance.
type Progress struct {
	Rev uint64
	// Highest is the highest revision in force on any instance that the
	// answering instance does not consider dead.
	Highest uint64
	// Done reports whether the revision is in force everywhere.
	Done bool
	// InForce and Lacking count the entries where the revision is in force and
	// where it is not. Instances of an older version leave both at 0, so use
	// Done rather than Lacking to detect the end.
	InForce, Lacking int
	// Missing names at most MaxMissing of the entries counted by Lacking.
	Missing []string
}

// MaxMissing bounds the names in one Progress. The names of all 13,000 entries
// would take 260 KB a message.
const MaxMissing = 20

// Add counts one entry and, if the revision is not in force there, names it.
func (p *Progress) Add(entry string, inForce bool) {
	if inForce {
		p.InForce++
		return
	}
	p.Lacking++
	if len(p.Missing) < MaxMissing {
		p.Missing = append(p.Missing, entry)
	}
}

// Same reports whether p and other are equal.
func (p *Progress) Same(other *Progress) bool {
	return p.Rev == other.Rev && p.Highest == other.Highest && p.Done == other.Done &&
		p.InForce == other.InForce && p.Lacking == other.Lacking && slices.Equal(p.Missing, other.Missing)
}

// Change is an edit accepted by the platform that the operators' client sends
// directly to an instance. Domain or Server is set.
type Change struct {
	Rev    uint64
	Domain *conf.Domain `cbor:",omitempty"`
	Server *conf.Server `cbor:",omitempty"`
}

// NotifyResponse holds the revision in force after a change was applied.
type NotifyResponse struct {
	Rev uint64
}

// Puller serves settings to peers.
type Puller interface {
	Pull(ctx context.Context, since uint64) (PullResponse, error)
}

// Operator handles the requests of operators.
type Operator interface {
	Status(ctx context.Context) (Status, error)
	// Watch calls send with each change of the progress until the revision
	// is in force everywhere or ctx ends.
	Watch(ctx context.Context, rev uint64, send func(Progress) error) error
	Notify(ctx context.Context, c Change) (NotifyResponse, error)
}
