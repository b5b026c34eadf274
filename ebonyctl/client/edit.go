package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/store"
)

// Editor writes edits. It distinguishes conflicts with other edits from writes
// whose outcome is unknown.
type Editor struct {
	Objects ObjectAPI
	// Rand generates edit identifiers.
	Rand *rand.Rand
}

// Apply writes the edit and returns the revision at which it took effect. It
// sets the edit's identifier and adds it to the value.
// Errors: *ConflictError, *UnknownOutcomeError, or those of ObjectAPI.
func (e *Editor) Apply(ctx context.Context, ed *Edit) (uint64, error) {
	ed.ID = fmt.Sprintf("%016x%016x", e.Rand.Uint64(), e.Rand.Uint64())
	rev, err := e.write(ctx, ed)
	var conflict *store.ConflictError
	var unavailable *store.UnavailableError
	switch {
	case errors.As(err, &conflict):
		return 0, newConflictError(ed, conflict)
	case errors.As(err, &unavailable) && unavailable.Uncertain:
		return 0, &UnknownOutcomeError{Edit: *ed, Err: unavailable}
	}
	return rev, err
}

func (e *Editor) write(ctx context.Context, ed *Edit) (uint64, error) {
	if ed.Value == nil {
		return e.Objects.Delete(ctx, ed.Kind, ed.Name, ed.Rev)
	}
	v, err := store.WithEdit(ed.Value, ed.ID)
	if err != nil {
		return 0, fmt.Errorf("%s %q: %w", ed.Kind, ed.Name, err)
	}
	ed.Value = v
	return e.Objects.Put(ctx, ed.Kind, ed.Name, ed.Rev, v, ed.ID)
}

// newConflictError returns a *ConflictError with the object that the other edit
// left in the store.
func newConflictError(ed *Edit, conflict *store.ConflictError) error {
	if conflict.Rev != 0 && conflict.Value == nil {
		return fmt.Errorf("the object that the other edit wrote cannot be read: %w", conflict)
	}
	current := conf.Object{Kind: ed.Kind, Name: ed.Name, Rev: conflict.Rev, Value: conflict.Value, Deleted: conflict.Rev == 0}
	return &ConflictError{Edit: *ed, Current: current, Uncertain: conflict.Uncertain}
}
