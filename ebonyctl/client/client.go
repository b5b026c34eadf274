// Package client gives operators access to the object API and to instances.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"ebonypaddle/pkg/conf"
)

// Objects is the object API. Put and Delete take effect only if the object is
// at revision rev; 0 means that it must not exist. They send the write once and
// settle a lost answer by reading back. Put adds the edit identifier to the
// value. Errors: ErrNotFound, *store.ConflictError, *store.UnavailableError.
type Objects interface {
	List(ctx context.Context, kind conf.Kind) (rev uint64, objs []conf.Object, err error)
	Get(ctx context.Context, kind conf.Kind, name string) (conf.Object, error)
	Put(ctx context.Context, kind conf.Kind, name string, rev uint64, value []byte, edit string) (uint64, error)
	Delete(ctx context.Context, kind conf.Kind, name string, rev uint64) (uint64, error)
}

// Instances are the running daemons, asked with the operator key.
type Instances interface {
	Status(ctx context.Context) ([]Status, error)
	// Watch reports, after a short wait at most, which places have rev in force.
	Watch(ctx context.Context, rev uint64) (Progress, error)
	// Counters returns the published counters by instance address.
	Counters(ctx context.Context) (map[string]json.RawMessage, error)
	// Highest returns the highest revision that any instance has in force.
	Highest(ctx context.Context) (uint64, error)
	// Settings returns the settings of the instance with the highest
	// revision of those that answer.
	Settings(ctx context.Context) (*conf.Snapshot, error)
	// Notify hands a change directly to the instances that the client
	// reaches and returns how many took it.
	Notify(ctx context.Context, change conf.Object) (int, error)
}

// Status is what one instance reports.
type Status struct {
	Entry   string            `json:"entry"`
	Domain  string            `json:"domain"`
	Rev     uint64            `json:"rev"`
	Flows   uint64            `json:"flows"`
	Servers map[string]string `json:"servers"` // stage by server name
	// Refused counts refusals to callers, Dropped frames discarded without an
	// answer, Retried repeated attempts, Closed flows given up, by reason.
	Refused map[string]uint64 `json:"refused"`
	Dropped map[string]uint64 `json:"dropped"`
	Retried map[string]uint64 `json:"retried"`
	Closed  map[string]uint64 `json:"closed"`
	// FreshMillis is for how long the instance may still serve servers of
	// other domains, in milliseconds. SkewMillis is how far the
	// median of the others' clocks is ahead of its own, absent while unknown.
	FreshMillis int64  `json:"freshMillis"`
	SkewMillis  *int64 `json:"skewMillis,omitempty"`
}

// Progress counts the places at which a revision is in force, and the others.
type Progress struct {
	// Done is set when no place lacks the revision.
	Done    bool `json:"done"`
	Reached int  `json:"reached"`
	Lacking int  `json:"lacking"`
	// Missing names some of those where it is not.
	Missing []string `json:"missing"`
}

// ErrNotFound reports an object that does not exist.
var ErrNotFound = errors.New("object does not exist")

// Conflict reports a race of two edits. The other edit is in the store; this
// one is kept here for the operator.
type Conflict struct {
	Edit Edit `json:"edit"`
	// Current is the object in the store; Deleted if there is none.
	Current conf.Object `json:"current"`
	// Uncertain is set when the answer was lost as well, so that this edit
	// may have been in force before the other replaced it.
	Uncertain bool `json:"uncertain"`
}

// Error names the object and both revisions.
func (e *Conflict) Error() string {
	s := fmt.Sprintf("%s %q: edit of revision %d met revision %d", e.Edit.Kind, e.Edit.Name, e.Edit.Rev, e.Current.Rev)
	if e.Uncertain {
		s += "; its answer was lost and it may have been in force for a time"
	}
	return s
}

// Unknown reports an edit whose answer was lost and that reading back does
// not show. It may still take effect.
type Unknown struct {
	Edit Edit
	Err  error
}

// Error says what to look for.
func (e *Unknown) Error() string {
	return fmt.Sprintf("%s %q: edit %s is not in the store and may still arrive: %v", e.Edit.Kind, e.Edit.Name, e.Edit.ID, e.Err)
}

// Unwrap returns the cause.
func (e *Unknown) Unwrap() error { return e.Err }

// Edit is one conditional change of an object.
type Edit struct {
	Kind conf.Kind `json:"kind"`
	Name string    `json:"name"`
	// Rev is the revision that the edit replaces, 0 for a new object.
	Rev uint64 `json:"rev"`
	// Base is the value at Rev, and Value the new one; nil deletes.
	Base  json.RawMessage `json:"base,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	ID    string          `json:"id"`
}
