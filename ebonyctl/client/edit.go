package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ebonypaddle/pkg/conf"
)

// Reading back after a lost answer: a write that was on its way shows up
// within this time or is reported as unknown.
const (
	readBacks    = 4
	readBackWait = 500 * time.Millisecond
)

// Editor writes edits and settles lost answers and races.
type Editor struct {
	Objects Objects
	// Rand is the source of edit identifiers.
	Rand *rand.Rand
	// Pause waits between two reads.
	Pause func(context.Context, time.Duration) error
}

// Apply writes the edit once and returns the revision that it took effect at.
// It sets the edit's identifier and adds it to the value. A lost answer is settled by reading back; the write is never repeated.
// Errors: *Conflict, *Unknown, or those of Objects.
func (e *Editor) Apply(ctx context.Context, ed *Edit) (uint64, error) {
	ed.ID = fmt.Sprintf("%016x%016x", e.Rand.Uint64(), e.Rand.Uint64())
	rev, err := e.write(ctx, ed)
	var stale *Stale
	var lost *LostAnswer
	switch {
	case errors.As(err, &stale):
		return 0, e.conflict(ctx, ed)
	case errors.As(err, &lost):
		return e.readBack(ctx, ed, lost)
	}
	return rev, err
}

func (e *Editor) write(ctx context.Context, ed *Edit) (uint64, error) {
	if ed.Value == nil {
		return e.Objects.Delete(ctx, ed.Kind, ed.Name, ed.Rev)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(ed.Value, &fields); err != nil {
		return 0, fmt.Errorf("%s %q: value is not an object: %w", ed.Kind, ed.Name, err)
	}
	fields["edit"] = json.RawMessage(`"` + ed.ID + `"`)
	v, err := json.Marshal(fields)
	if err != nil {
		return 0, fmt.Errorf("%s %q: %w", ed.Kind, ed.Name, err)
	}
	ed.Value = v
	return e.Objects.Put(ctx, ed.Kind, ed.Name, ed.Rev, v)
}

func (e *Editor) conflict(ctx context.Context, ed *Edit) error {
	cur, err := e.Objects.Get(ctx, ed.Kind, ed.Name)
	if errors.Is(err, ErrNotFound) {
		cur = conf.Object{Kind: ed.Kind, Name: ed.Name, Deleted: true}
	} else if err != nil {
		return fmt.Errorf("read the other edit: %w", err)
	}
	return &Conflict{Edit: *ed, Current: cur}
}

func (e *Editor) readBack(ctx context.Context, ed *Edit, lost error) (uint64, error) {
	for range readBacks {
		if err := e.Pause(ctx, readBackWait); err != nil {
			break
		}
		cur, err := e.Objects.Get(ctx, ed.Kind, ed.Name)
		gone := errors.Is(err, ErrNotFound)
		switch {
		case err != nil && !gone:
			continue
		case gone && ed.Value == nil:
			rev, _, err := e.Objects.List(ctx, ed.Kind)
			return rev, err
		case gone && ed.Rev == 0, !gone && cur.Rev == ed.Rev:
			continue // The store is as before the edit.
		case gone:
			cur = conf.Object{Kind: ed.Kind, Name: ed.Name, Deleted: true}
		case editOf(cur.Value) == ed.ID:
			return cur.Rev, nil
		}
		return 0, &Conflict{Edit: *ed, Current: cur, Uncertain: true}
	}
	return 0, &Unknown{Edit: *ed, Err: lost}
}

func editOf(value []byte) string {
	var v struct {
		Edit string `json:"edit"`
	}
	if json.Unmarshal(value, &v) != nil {
		return ""
	}
	return v.Edit
}
