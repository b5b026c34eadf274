package store

import (
	"bytes"
	"cmp"
	"errors"
	"log/slog"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// lenient accepts what other writers may have put into an object: text that is
// not UTF-8, fields given twice, and names of another case.
var lenient = json.JoinOptions(jsontext.AllowInvalidUTF8(true), jsontext.AllowDuplicateNames(true), json.MatchCaseInsensitiveNames(true))

// Decode decodes JSON from the object API into out. encoding/json would read the
// text twice, and each nested raw value twice more, which takes most of the time
// in which an instance starts.
func Decode(b []byte, out any) error { return json.Unmarshal(b, out, lenient) }

// BodyDecoder decodes the body of a response by itself.
type BodyDecoder interface{ DecodeBody(b []byte) error }

// rawBody keeps a body as it is.
type rawBody []byte

// DecodeBody implements BodyDecoder.
func (r *rawBody) DecodeBody(b []byte) error {
	*r = b
	return nil
}

// listResponse is a list of objects that are not decoded yet.
type listResponse struct {
	Rev     uint64
	Objects [][]byte
}

// DecodeBody implements BodyDecoder.
func (r *listResponse) DecodeBody(b []byte) error {
	var array []byte
	if err := DecodeMembers(b, []string{"rev", "objects"}, &r.Rev, &array); err != nil {
		return err
	}
	var err error
	r.Objects, err = Elements(array)
	return err
}

// watchResponse is a list of events that are not decoded yet.
type watchResponse struct {
	Rev    uint64
	Events [][]byte
}

// DecodeBody implements BodyDecoder.
func (r *watchResponse) DecodeBody(b []byte) error {
	var array []byte
	if err := DecodeMembers(b, []string{"rev", "events"}, &r.Rev, &array); err != nil {
		return err
	}
	var err error
	r.Events, err = Elements(array)
	return err
}

// errNoName reports an object of a list or watch without a kind or name.
var errNoName = errors.New("object has no kind or name")

// decodeEvent decodes an event or an object of the given era, whose value may be
// anything.
func decodeEvent(b []byte, era uint64) (e Event, err error) {
	var value []byte
	err = DecodeMembers(b, []string{"kind", "name", "rev", "value", "deleted"}, &e.Kind, &e.Name, &e.Rev, &value, &e.Deleted)
	if err == nil {
		err = addEra(era, &e.Rev)
	}
	e.Value = bytes.Clone(value) // would otherwise keep the whole response
	return e, err
}

// decodeNamed decodes the elements of a list or watch. It logs those that cannot be
// decoded or have no name, and leaves them out.
func (c *Client) decodeNamed(path string, elements [][]byte, era uint64) []Event {
	var out []Event
	for _, b := range elements {
		e, err := decodeEvent(b, era)
		if err == nil && (e.Kind == "" || e.Name == "") {
			err = errNoName
		}
		if err != nil {
			cmp.Or(c.Log, slog.Default()).Warn("object left out of a response", "path", path, "bytes", len(b), "err", err)
			continue
		}
		out = append(out, e)
	}
	return out
}
