package admin

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
)

// Procedures of the services.
const (
	pullPath   = "/ebonypaddle.Settings/Pull"
	statusPath = "/ebonypaddle.Operator/Status"
	watchPath  = "/ebonypaddle.Operator/Watch"
	notifyPath = "/ebonypaddle.Operator/Notify"
	// countersPath serves counters over plain HTTP, where monitoring looks for
	// them.
	countersPath = "/debug/vars"
	// settingsPath gives operators the settings that the instance holds.
	settingsPath = "/ebonypaddle.Operator/Settings"
)

const (
	// maxRequest bounds what a server reads in bytes; a notified mark is far
	// smaller.
	maxRequest = 64 << 10
	// MaxAnswer bounds an answer in bytes; a snapshot is the largest.
	MaxAnswer = 64 << 20
)

// PullRequest asks for what an instance at revision Since lacks.
type PullRequest struct {
	Since uint64
}

// PullAnswer holds an encoded dist.Delta, empty when nothing is lacking.
type PullAnswer struct {
	Rev   uint64
	Delta []byte
}

// SettingsRequest asks for the settings that the instance holds.
type SettingsRequest struct{}

// StatusRequest asks for the state of the instance.
type StatusRequest struct{}

// Status is what an instance knows of itself and of others.
type Status struct {
	// Entry is the name of the instance's entry place.
	Entry      string
	Self       netip.AddrPort
	Domain     string
	Rev        uint64
	CrossUntil time.Time
	// FreshFor is the time left until CrossUntil by the instance's own clock.
	// At 0 it serves the servers of its own domain only.
	FreshFor time.Duration
	// ClockSkew is how far the median of the members' clocks is ahead of this
	// instance's, nil while no member answered.
	ClockSkew *time.Duration
	Members   []Member
	// Servers holds the lifecycle state of each backend server by name.
	Servers map[string]string
	// Flows counts the flows this instance opened.
	Flows    uint64
	Counters map[string]uint64
}

// Member is a row of the membership table.
type Member struct {
	Addr    netip.AddrPort
	Domain  string
	State   string
	Leaving bool
	Rev     uint64
}

// WatchRequest follows an edit until its revision is in force everywhere.
type WatchRequest struct {
	Rev uint64
}

// Progress tells where a revision is not in force yet.
type Progress struct {
	Rev uint64
	// Highest is the highest revision in force on any instance of the half
	// that the answering one does not take for dead.
	Highest uint64
	Done    bool
	// InForce and Lacking count the places where the revision is in force and
	// where it is not. An instance of an older version leaves them at 0, so
	// only Done says that no place lacks it.
	InForce, Lacking int
	// Missing names at most MaxMissing of those where it is not.
	Missing []string
}

// MaxMissing bounds the names in one Progress. The names of all 13,000 places
// would take 260 KB a message.
const MaxMissing = 20

// Add records one place.
func (p *Progress) Add(place string, reached bool) {
	if reached {
		p.InForce++
		return
	}
	p.Lacking++
	if len(p.Missing) < MaxMissing {
		p.Missing = append(p.Missing, place)
	}
}

// Same reports whether q tells nothing new.
func (p *Progress) Same(q *Progress) bool {
	return p.Rev == q.Rev && p.Highest == q.Highest && p.Done == q.Done &&
		p.InForce == q.InForce && p.Lacking == q.Lacking && slices.Equal(p.Missing, q.Missing)
}

// Change is an accepted edit that the operators' client hands over directly.
type Change struct {
	Rev    uint64
	Domain *conf.Domain `cbor:",omitempty"`
	Server *conf.Server `cbor:",omitempty"`
}

// NotifyAnswer tells which revision is in force after a change was taken.
type NotifyAnswer struct {
	Rev uint64
}

// Puller gives settings to peers.
type Puller interface {
	Pull(ctx context.Context, since uint64) (PullAnswer, error)
}

// Operator answers operators.
type Operator interface {
	Status(ctx context.Context) (Status, error)
	// Watch calls send with each change of the progress until the revision
	// is in force everywhere or ctx ends.
	Watch(ctx context.Context, rev uint64, send func(Progress) error) error
	Notify(ctx context.Context, c Change) (NotifyAnswer, error)
}
