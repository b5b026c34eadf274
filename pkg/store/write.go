package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"ebonypaddle/pkg/revs"
)

// editField is the name of the JSON member that identifies the write of a value.
const editField = "edit"

// Put writes a JSON object if its current revision is rev, where 0 means that it
// must not exist, and returns the new revision. It adds a member "edit" with a
// random identifier, by which it recognizes its own write if the answer is lost.
// It sends the write once; only if the connection fails, it tries the next
// address. Errors include *ConflictError, *RestoredError and *UnavailableError.
func (c *Client) Put(ctx context.Context, kind, name string, rev uint64, value json.RawMessage) (uint64, error) {
	return c.PutEdit(ctx, kind, name, rev, value, c.NewEdit())
}

// NewEdit returns a random edit identifier.
func (c *Client) NewEdit() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x%016x", c.Rand.Uint64(), c.Rand.Uint64())
}

// PutEdit is like Put with an edit identifier from NewEdit, for code that
// displays the identifier.
func (c *Client) PutEdit(ctx context.Context, kind, name string, rev uint64, value json.RawMessage, edit string) (uint64, error) {
	body, err := WithEdit(value, edit)
	if err != nil {
		return 0, fmt.Errorf("put %s %q: %w", kind, name, err)
	}
	newRev, err := c.write(ctx, http.MethodPut, kind, name, rev, body)
	if !mayHaveTakenEffect(err) {
		return newRev, c.addCurrentValue(ctx, kind, name, err)
	}
	current, listRev, readErr := c.readBack(ctx, kind, name, rev)
	switch {
	case listRev > 0 && current != nil && editOf(current.Value) == edit:
		c.Counters.Resolved.Add(1)
		return current.Rev, nil
	case listRev > 0:
		c.Counters.Unresolved.Add(1)
		conflict := &ConflictError{Kind: kind, Name: name, Uncertain: true}
		if current != nil {
			conflict.Rev, conflict.Value = current.Rev, current.Value
		}
		return 0, conflict
	}
	return 0, c.unresolvedError(err, readErr)
}

// Delete deletes an object if its current revision is rev, and returns the
// revision of the deletion. If the answer is lost and the object then does not
// exist, Delete succeeds, no matter which client deleted it, and returns a
// revision at which the object was deleted.
func (c *Client) Delete(ctx context.Context, kind, name string, rev uint64) (uint64, error) {
	newRev, err := c.write(ctx, http.MethodDelete, kind, name, rev, nil)
	if !mayHaveTakenEffect(err) {
		return newRev, c.addCurrentValue(ctx, kind, name, err)
	}
	current, listRev, readErr := c.readBack(ctx, kind, name, rev)
	switch {
	case listRev > 0 && current == nil:
		c.Counters.Resolved.Add(1)
		return listRev, nil
	case listRev > 0:
		c.Counters.Unresolved.Add(1)
		return 0, &ConflictError{Kind: kind, Name: name, Rev: current.Rev, Value: current.Value, Uncertain: true}
	}
	return 0, c.unresolvedError(err, readErr)
}

// changedSince reports whether the object differs from the one at revision rev.
// o is nil if the object does not exist now.
func changedSince(o *Object, rev uint64) bool {
	if o == nil {
		return rev != 0
	}
	return o.Rev > rev
}

// write sends a write and returns the new revision. It tries the next address
// only if the connection fails, because then nothing was sent.
func (c *Client) write(ctx context.Context, method, kind, name string, rev uint64, body []byte) (uint64, error) {
	var res struct {
		Rev uint64 `json:"rev"`
	}
	var era uint64
	var err error
	for range c.Addrs {
		era, err = c.call(ctx, method, objectPath(kind, name), rev, body, c.Timeout, &res)
		if cause, _ := causeOf(err); err == nil || cause != CauseConnect {
			break
		}
		c.useNextAddr()
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		if err := addEra(era, &conflict.Rev); err != nil {
			return 0, err
		}
		return 0, err
	}
	if err == nil {
		err = addEra(era, &res.Rev)
	}
	if base := revs.Rev(rev); err == nil && base != 0 && base.Era() != era {
		err = &RestoredError{Kind: kind, Name: name, Base: rev, Rev: res.Rev}
	}
	return res.Rev, err
}

// mayHaveTakenEffect reports whether a write that failed with err may have taken
// effect.
func mayHaveTakenEffect(err error) bool {
	var un *UnavailableError
	return errors.As(err, &un) && un.Cause != CauseConnect && un.Cause != CauseThrottled
}

// errUndecoded reports a list with objects that cannot be decoded.
var errUndecoded = errors.New("objects of the list cannot be decoded")

// readBack reads an object until it differs from the one at revision rev, with
// up to Tries attempts. It returns the object, or nil if it does not exist, and
// the revision at which it was read, which is 0 if the object did not change. It
// lists the object by name instead of getting it, because a list has a revision:
// the result of a replica that has not reached rev must be ignored, as it cannot
// show a later write.
func (c *Client) readBack(ctx context.Context, kind, name string, rev uint64) (*Object, uint64, error) {
	c.useNextAddr()
	for attempt := 1; ; attempt++ {
		c.Counters.ReadBacks.Add(1)
		objs, leftOut, listRev, err := c.listPrefix(ctx, kind+"/"+name)
		if err != nil {
			return nil, 0, err
		}
		o := findByName(objs, name)
		if o == nil && leftOut > 0 {
			return nil, 0, errUndecoded // it may be the object
		}
		if listRev >= rev && changedSince(o, rev) {
			return o, listRev, nil
		}
		if attempt >= max(c.Tries, 1) {
			return nil, 0, nil
		}
		if err := c.Sleep(ctx, c.backoff(attempt)); err != nil {
			return nil, 0, err
		}
	}
}

func findByName(objs []Object, name string) *Object {
	for i := range objs {
		if objs[i].Name == name {
			return &objs[i]
		}
	}
	return nil
}

func (c *Client) unresolvedError(err, readErr error) error {
	c.Counters.Unresolved.Add(1)
	cause, _ := causeOf(err)
	return &UnavailableError{Cause: cause, Uncertain: true, Err: errors.Join(err, readErr)}
}

// addCurrentValue adds the object's kind, name and current value to a
// *ConflictError. It returns other errors unchanged.
func (c *Client) addCurrentValue(ctx context.Context, kind, name string, err error) error {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	conflict.Kind, conflict.Name = kind, name
	if o, err := c.Get(ctx, kind, name); err == nil && o.Rev >= conflict.Rev {
		conflict.Rev, conflict.Value = o.Rev, o.Value
	}
	return conflict
}

// WithEdit returns the value with the edit identifier added, as PutEdit writes
// it.
func WithEdit(value json.RawMessage, edit string) (json.RawMessage, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(value, &m); err != nil || m == nil {
		return nil, fmt.Errorf("value %.60s is not a JSON object", value)
	}
	m[editField] = json.RawMessage(`"` + edit + `"`)
	return json.Marshal(m)
}

func editOf(value json.RawMessage) string {
	var v struct {
		Edit string `json:"edit"`
	}
	if json.Unmarshal(value, &v) != nil {
		return ""
	}
	return v.Edit
}
