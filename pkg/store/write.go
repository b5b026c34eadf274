package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// editField is the member of a value that identifies the write.
const editField = "edit"

// Put writes a JSON object if its current revision is rev, where 0 means that
// it must not exist, and returns the new revision. It adds a random "edit"
// member, by which it finds its own write after a lost answer. It sends the
// write once, except to a further address when no connection came about.
func (c *Client) Put(ctx context.Context, kind, name string, rev uint64, value json.RawMessage) (uint64, error) {
	return c.PutEdit(ctx, kind, name, rev, value, c.NewEdit())
}

// NewEdit returns a random edit identifier.
func (c *Client) NewEdit() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x%016x", c.Rand.Uint64(), c.Rand.Uint64())
}

// PutEdit is Put with an edit identifier of NewEdit, for callers that show it.
func (c *Client) PutEdit(ctx context.Context, kind, name string, rev uint64, value json.RawMessage, edit string) (uint64, error) {
	body, err := WithEdit(value, edit)
	if err != nil {
		return 0, fmt.Errorf("put %s %q: %w", kind, name, err)
	}
	newRev, err := c.write(ctx, http.MethodPut, kind, name, rev, body)
	if !uncertain(err) {
		return newRev, c.explain(ctx, kind, name, err)
	}
	last, at, readErr := c.readBack(ctx, kind, name, rev)
	switch {
	case at > 0 && last != nil && editOf(last.Value) == edit:
		c.Counters.Resolved.Add(1)
		return last.Rev, nil
	case at > 0:
		c.Counters.Unresolved.Add(1)
		conflict := &ConflictError{Kind: kind, Name: name, Uncertain: true}
		if last != nil {
			conflict.Rev, conflict.Value = last.Rev, last.Value
		}
		return 0, conflict
	}
	return 0, c.unresolved(err, readErr)
}

// Delete removes an object if its current revision is rev, and returns the
// revision of the removal. After a lost answer, an object that is absent counts
// as removed, whoever removed it, and the revision is one that has the removal.
func (c *Client) Delete(ctx context.Context, kind, name string, rev uint64) (uint64, error) {
	newRev, err := c.write(ctx, http.MethodDelete, kind, name, rev, nil)
	if !uncertain(err) {
		return newRev, c.explain(ctx, kind, name, err)
	}
	last, at, readErr := c.readBack(ctx, kind, name, rev)
	switch {
	case at > 0 && last == nil:
		c.Counters.Resolved.Add(1)
		return at, nil
	case at > 0:
		c.Counters.Unresolved.Add(1)
		return 0, &ConflictError{Kind: kind, Name: name, Rev: last.Rev, Value: last.Value, Uncertain: true}
	}
	return 0, c.unresolved(err, readErr)
}

// changed tells whether the object is no longer the one at revision rev.
func changed(o *Object, rev uint64) bool {
	if o == nil {
		return rev != 0
	}
	return o.Rev > rev
}

// write sends a write. It goes on to the next address only when the
// connection failed, because then nothing was sent.
func (c *Client) write(ctx context.Context, method, kind, name string, rev uint64, body []byte) (uint64, error) {
	var out struct {
		Rev uint64 `json:"rev"`
	}
	var err error
	for range c.Addrs {
		err = c.call(ctx, method, objectPath(kind, name), rev, body, c.Timeout, &out)
		if cause, _ := causeOf(err); err == nil || cause != CauseConnect {
			break
		}
		c.rotate()
	}
	return out.Rev, err
}

// uncertain tells whether a write that failed with err may have taken effect.
func uncertain(err error) bool {
	var un *UnavailableError
	return errors.As(err, &un) && un.Cause != CauseConnect && un.Cause != CauseThrottled
}

// readBack reads an object until it is no longer the one at revision rev, and
// returns it, or nil when it is absent, and the revision it was read at. That
// revision is 0 when the object did not change. It lists by the object's name because a
// list tells its revision: a replica that has not reached rev says nothing
// about a write on top of it.
func (c *Client) readBack(ctx context.Context, kind, name string, rev uint64) (*Object, uint64, error) {
	c.rotate()
	for try := 1; ; try++ {
		c.Counters.ReadBacks.Add(1)
		objs, at, err := c.list(ctx, kind+"/"+name)
		if err != nil {
			return nil, 0, err
		}
		if o := find(objs, name); at >= rev && changed(o, rev) {
			return o, at, nil
		}
		if try >= max(c.Tries, 1) {
			return nil, 0, nil
		}
		if err := c.Sleep(ctx, c.pause(try)); err != nil {
			return nil, 0, err
		}
	}
}

func find(objs []Object, name string) *Object {
	for i := range objs {
		if objs[i].Name == name {
			return &objs[i]
		}
	}
	return nil
}

func (c *Client) unresolved(err, readErr error) error {
	c.Counters.Unresolved.Add(1)
	cause, _ := causeOf(err)
	return &UnavailableError{Cause: cause, Uncertain: true, Err: errors.Join(err, readErr)}
}

// explain completes a conflict with the current value.
func (c *Client) explain(ctx context.Context, kind, name string, err error) error {
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

// WithEdit returns the value with the edit identifier, as PutEdit writes it.
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
