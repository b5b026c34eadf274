package store

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Responses hold many objects, and other programs write their content. A decoder
// that reads a response as a whole fails on one object that it does not accept,
// such as a deeply nested one. The functions below find the parts of a response
// without decoding them. They use constant memory for any nesting.

// errUnbalanced reports text in which a quote or bracket is not closed, or a
// bracket is closed that was not opened.
var errUnbalanced = errors.New("unbalanced quotes or brackets")

// SyntaxError reports text that is not a JSON object or array.
type SyntaxError struct {
	Offset int    // of the text that was not expected, in bytes
	Want   string // what was expected there
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("byte %d: expected %s", e.Offset, e.Want) }

// Members returns the values of the members of a JSON object with the given names,
// in any case, as written; nil for a name that the object does not have. It checks
// only the quotes and brackets of all values.
func Members(b []byte, names ...string) ([][]byte, error) {
	out := make([][]byte, len(names))
	err := split(b, '{', func(key, value []byte) error {
		for i, name := range names {
			same, err := sameName(key, name)
			if err != nil {
				return err
			}
			if same {
				out[i] = value
			}
		}
		return nil
	})
	return out, err
}

// DecodeMembers decodes members of a JSON object into out, which has one target for
// each of names. It leaves the target of a missing member as it is, and returns the
// first error after it has tried all.
func DecodeMembers(b []byte, names []string, out ...any) error {
	values, err := Members(b, names...)
	if err != nil {
		return err
	}
	for i, v := range values {
		if v == nil {
			continue
		}
		if raw, ok := out[i].(*[]byte); ok {
			*raw = v
		} else if e := Decode(v, out[i]); e != nil && err == nil {
			err = fmt.Errorf("member %s: %w", names[i], e)
		}
	}
	return err
}

// Elements returns the elements of a JSON array as written. It returns nil for
// null and for no text.
func Elements(b []byte) ([][]byte, error) {
	if len(b) == 0 || string(b) == "null" {
		return nil, nil
	}
	out := [][]byte{}
	err := split(b, '[', func(_, v []byte) error {
		out = append(out, v)
		return nil
	})
	return out, err
}

// sameName reports whether a member's key, which is JSON text, is a name in any
// case.
func sameName(key []byte, name string) (bool, error) {
	if !bytes.ContainsRune(key, '\\') {
		return strings.EqualFold(string(key[1:len(key)-1]), name), nil
	}
	var s string
	if err := Decode(key, &s); err != nil {
		return false, err
	}
	return strings.EqualFold(s, name), nil
}

// split calls f for each member of a JSON object or each element of an array,
// depending on its opening bracket. key is the JSON text of a member's name.
func split(b []byte, opening byte, f func(key, value []byte) error) error {
	closing := opening + 2 // in ASCII, for both kinds of brackets
	i := skipSpace(b, 0)
	if i == len(b) || b[i] != opening {
		return &SyntaxError{i, string(opening)}
	}
	i = skipSpace(b, i+1)
	if i < len(b) && b[i] == closing {
		return atEnd(b, i+1)
	}
	for {
		var key []byte
		if opening == '{' {
			end, err := skipString(b, i)
			if err != nil {
				return err
			}
			key = b[i:end]
			i = skipSpace(b, end)
			if i == len(b) || b[i] != ':' {
				return &SyntaxError{i, ":"}
			}
			i = skipSpace(b, i+1)
		}
		end, err := skipValue(b, i)
		if err != nil {
			return err
		}
		if err := f(key, b[i:end]); err != nil {
			return err
		}
		i = skipSpace(b, end)
		switch {
		case i < len(b) && b[i] == ',':
			i = skipSpace(b, i+1)
		case i < len(b) && b[i] == closing:
			return atEnd(b, i+1)
		default:
			return &SyntaxError{i, ", or " + string(closing)}
		}
	}
}

// atEnd returns an error unless only white space follows from i on.
func atEnd(b []byte, i int) error {
	if i = skipSpace(b, i); i < len(b) {
		return &SyntaxError{i, "the end"}
	}
	return nil
}

func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\n' || b[i] == '\t' || b[i] == '\r') {
		i++
	}
	return i
}

// skipString returns the offset after the string that starts at i.
func skipString(b []byte, i int) (int, error) {
	if i == len(b) || b[i] != '"' {
		return 0, &SyntaxError{i, "a string"}
	}
	for i++; ; i++ {
		n := bytes.IndexByte(b[i:], '"')
		if n < 0 {
			return 0, errUnbalanced
		}
		i += n
		backslashes := 0
		for b[i-1-backslashes] == '\\' {
			backslashes++
		}
		if backslashes%2 == 0 {
			return i + 1, nil
		}
	}
}

// skipValue returns the offset after the value that starts at i. It does not
// check more than that quotes and brackets are balanced.
func skipValue(b []byte, i int) (int, error) {
	depth, start := 0, i
	for i < len(b) {
		switch b[i] {
		case '"':
			end, err := skipString(b, i)
			if err != nil {
				return 0, err
			}
			i = end
		case '{', '[':
			depth++
			i++
		case '}', ']', ',', ' ', '\n', '\t', '\r':
			if depth == 0 {
				if i == start {
					return 0, &SyntaxError{i, "a value"}
				}
				return i, nil
			}
			if b[i] == '}' || b[i] == ']' {
				depth--
			}
			i++
		default:
			i++
			continue
		}
		if depth == 0 {
			return i, nil
		}
	}
	return 0, errUnbalanced
}
