// Package client reads and changes settings through the object API and queries
// running instances through their admin service.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/router"
)

// ObjectAPI reads and writes objects of the platform. Put and Delete take effect
// only if the object is at revision rev; 0 means that it must not exist. They
// send a write once; if the response is lost, they read the object back to learn
// the outcome. Put adds the edit identifier to the value.
// Errors: ErrNotFound, *store.ConflictError, *store.UnavailableError.
type ObjectAPI interface {
	List(ctx context.Context, kind conf.Kind) (rev uint64, objs []conf.Object, err error)
	Get(ctx context.Context, kind conf.Kind, name string) (conf.Object, error)
	Put(ctx context.Context, kind conf.Kind, name string, rev uint64, value []byte, edit string) (uint64, error)
	Delete(ctx context.Context, kind conf.Kind, name string, rev uint64) (uint64, error)
}

// InstanceAPI queries the running instances with the operator key.
type InstanceAPI interface {
	// Status returns the status of every instance that responds.
	Status(ctx context.Context) ([]Status, error)
	// Watch returns how far rev is in force. It waits for a first report, not
	// until rev is in force everywhere.
	Watch(ctx context.Context, rev uint64) (Progress, error)
	// Counters returns the published counters by instance address.
	Counters(ctx context.Context) (map[string]json.RawMessage, error)
	// HighestRev returns the highest revision that any instance has in force.
	HighestRev(ctx context.Context) (uint64, error)
	// Settings returns the settings of the instance that has the highest
	// revision among those that respond.
	Settings(ctx context.Context) (*conf.Snapshot, error)
	// Explain asks one ebonyplat instance where a new flow would go. Errors:
	// *NoExplainError.
	Explain(ctx context.Context, q router.ExplainQuery) (*router.Explanation, error)
	// Notify sends a change directly to the instances that the client can
	// reach and returns how many accepted it.
	Notify(ctx context.Context, change conf.Object) (int, error)
}

// Status is the status that one instance reports.
type Status struct {
	// Entry is the name of the instance in the instance list.
	Entry   string            `json:"entry"`
	Domain  string            `json:"domain"`
	Rev     uint64            `json:"rev"`
	Flows   uint64            `json:"flows"`
	Servers map[string]string `json:"servers"` // lifecycle state by server name
	// Refused, Dropped, Retried and Closed count by reason: refusals sent to
	// callers, frames dropped without a response, repeated attempts, and flows
	// that the instance closed.
	Refused map[string]uint64 `json:"refused"`
	Dropped map[string]uint64 `json:"dropped"`
	Retried map[string]uint64 `json:"retried"`
	Closed  map[string]uint64 `json:"closed"`
	// FreshMillis is the time in milliseconds for which the instance may still
	// use servers of other domains. SkewMillis is how far the median of the
	// other instances' clocks is ahead of its own clock, in milliseconds; nil
	// if unknown.
	FreshMillis int64  `json:"freshMillis"`
	SkewMillis  *int64 `json:"skewMillis,omitempty"`
}

// Progress counts the instances on which a revision is in force and those on
// which it is not.
type Progress struct {
	// Done is set when the revision is in force on every instance.
	Done bool `json:"done"`
	// Reached and NotReached count instances. Missing may name fewer than
	// NotReached.
	Reached    int `json:"reached"`
	NotReached int `json:"lacking"`
	// Missing names some of the instances on which it is not in force.
	Missing []string `json:"missing"`
}

// ErrNotFound is returned for an object that does not exist.
var ErrNotFound = errors.New("object does not exist")

// ConflictError reports that another edit changed the object first. The other
// edit is in the store; Edit holds the rejected one so that the operator can
// repeat it.
type ConflictError struct {
	Edit Edit `json:"edit"`
	// Current is the object in the store. Its Deleted is set if there is none.
	Current conf.Object `json:"current"`
	// Uncertain is set when the response to the write was lost, so that this
	// edit may have been in force before the other edit replaced it.
	Uncertain bool `json:"uncertain"`
}

// Error returns the object and both revisions.
func (e *ConflictError) Error() string {
	s := fmt.Sprintf("%s %q: the edit replaces revision %d, but the store has revision %d", e.Edit.Kind, e.Edit.Name, e.Edit.Rev, e.Current.Rev)
	if e.Uncertain {
		s += "; the response was lost, so the edit may have been in force for a time"
	}
	return s
}

// UnknownOutcomeError reports an edit whose response was lost and which is not
// in the store when it is read back. The edit may still take effect.
type UnknownOutcomeError struct {
	Edit Edit
	Err  error
}

// Error returns the object and the edit identifier to look for in the store.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s %q: edit %s is not in the store, but may still take effect: %v", e.Edit.Kind, e.Edit.Name, e.Edit.ID, e.Err)
}

// Unwrap returns the error of the write.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Edit is one conditional change of an object.
type Edit struct {
	Kind conf.Kind `json:"kind"`
	Name string    `json:"name"`
	// Rev is the revision that the edit replaces, 0 for a new object.
	Rev uint64 `json:"rev"`
	// Base is the value at Rev. Value is the new value; nil deletes the object.
	Base  json.RawMessage `json:"base,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	// ID identifies the edit when it is read back. Editor.Apply sets it.
	ID string `json:"id"`
}
