package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/store"
)

// Editor writes edits and tells races from lost answers.
type Editor struct {
	Objects Objects
	// Rand is the source of edit identifiers.
	Rand *rand.Rand
}

// Apply writes the edit and returns the revision that it took effect at. It
// sets the edit's identifier and adds it to the value.
// Errors: *Conflict, *Unknown, or those of Objects.
func (e *Editor) Apply(ctx context.Context, ed *Edit) (uint64, error) {
	ed.ID = fmt.Sprintf("%016x%016x", e.Rand.Uint64(), e.Rand.Uint64())
	rev, err := e.write(ctx, ed)
	var conflict *store.ConflictError
	var lost *store.UnavailableError
	switch {
	case errors.As(err, &conflict):
		return 0, raced(ed, conflict)
	case errors.As(err, &lost) && lost.Uncertain:
		return 0, &Unknown{Edit: *ed, Err: lost}
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

// raced describes the other edit, which is in the store.
func raced(ed *Edit, c *store.ConflictError) error {
	if c.Rev != 0 && c.Value == nil {
		return fmt.Errorf("the other edit cannot be read: %w", c)
	}
	cur := conf.Object{Kind: ed.Kind, Name: ed.Name, Rev: c.Rev, Value: c.Value, Deleted: c.Rev == 0}
	return &Conflict{Edit: *ed, Current: cur, Uncertain: c.Uncertain}
}
