package store

import (
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
