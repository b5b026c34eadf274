package conf

import (
	"fmt"
	"strings"
)

// Kind is the kind of an object in the settings.
type Kind string

// Kinds of objects, and the kinds of files that problems name.
const (
	KindNode   Kind = "node"
	KindDomain Kind = "domain"
	KindServer Kind = "server"
	KindKey    Kind = "key"

	KindSnapshot Kind = "snapshot"
	KindProcess  Kind = "process"
)

// Kinds lists the kinds of objects that make up the settings.
func Kinds() []Kind { return []Kind{KindKey, KindNode, KindDomain, KindServer} }

// Problem describes a field of an object whose value is invalid.
type Problem struct {
	Kind Kind `json:"kind"`
	// Name is the path of a node and the name of every other object.
	Name  string `json:"name"`
	Field string `json:"field"`
	Value string `json:"value"`
	// Bound completes the sentence "the value must be ...".
	Bound string `json:"bound"`
}

// Error returns the object, the field, the value and the bound as one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s %q: field %s is %s, must be %s", p.Kind, p.Name, p.Field, p.Value, p.Bound)
}

// Problems is a list of problems that is itself an error.
type Problems []Problem

// Error joins the problems with newlines.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil when there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// report collects the problems of one object.
type report struct {
	kind     Kind
	name     string
	problems *Problems
}

func (r report) add(field string, value any, bound string) {
	*r.problems = append(*r.problems, Problem{r.kind, r.name, field, fmt.Sprint(value), bound})
}
