package conf

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// SourceDefault is the source of a value that no node sets.
const SourceDefault = "default"

// Depths of nodes in the tree.
const (
	depthRoot    = 0
	depthHalf    = 1
	depthService = 2
	depthDomain  = 3
)

// Resolved holds the values in force at a path.
type Resolved struct {
	Path string
	// ServiceID and Address are those of the path's service, if it has one.
	ServiceID ServiceID
	Address   netip.AddrPort

	Slots        int
	Connections  int
	ColdSlots    int
	ColdFlows    int
	ColdTime     time.Duration
	RequestTime  time.Duration
	AttemptTime  time.Duration
	RetryRatio   float64
	FreshFor     time.Duration
	IdentityTTL  time.Duration
	TicketTime   time.Duration
	MaxClockSkew time.Duration
	QueuePerSlot int
	MaxPending   int
	FlowIdle     time.Duration
	EpochTime    time.Duration

	// Source gives, by field name, the path of the node that sets the value,
	// or SourceDefault.
	Source map[string]string
}

// PathError reports that a node on the way to a path does not exist.
type PathError struct{ Path, Missing string }

// Error returns the path and the missing node.
func (e *PathError) Error() string {
	return fmt.Sprintf("settings path %q: node %q does not exist", e.Path, e.Missing)
}

// Parent returns the path of the parent; the root is its own parent.
func Parent(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return "/"
	}
	return path[:i]
}

// Depth returns the number of names in the path.
func Depth(path string) int {
	if path == "/" {
		return depthRoot
	}
	return strings.Count(path, "/")
}

// Half returns the name of the half that the path belongs to, or "" for the
// root.
func Half(path string) string {
	half, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return half
}

// Resolve returns the values in force at the path. The node of a failure domain
// below a service may be missing; if any other node is, it returns a *PathError.
func (s *Snapshot) Resolve(path string) (Resolved, error) {
	r := Resolved{Path: path, Source: make(map[string]string, len(fields)+2)}
	for i := range fields {
		fields[i].setDefault(&r)
		r.Source[fields[i].Name] = SourceDefault
	}
	for _, p := range pathsFromRoot(path) {
		n, ok := s.Nodes[p]
		if !ok {
			if p == path && Depth(p) == depthDomain && s.hasDomain(p) {
				continue
			}
			return Resolved{}, &PathError{path, p}
		}
		r.applyNode(p, &n.Values)
	}
	return r, nil
}

// hasDomain reports whether the last name of the path is a failure domain of
// the path's half.
func (s *Snapshot) hasDomain(path string) bool {
	d, ok := s.Domains[path[strings.LastIndexByte(path, '/')+1:]]
	return ok && d.Half == Half(path)
}

func (r *Resolved) applyNode(path string, v *Values) {
	for i := range fields {
		if fields[i].inherit(r, v) {
			r.Source[fields[i].Name] = path
		}
	}
	if Depth(path) != depthService {
		return
	}
	if v.ServiceID != nil {
		r.ServiceID = *v.ServiceID
		r.Source["serviceId"] = path
	}
	if v.Address != nil {
		r.Address = *v.Address
		r.Source["address"] = path
	}
}

// pathsFromRoot returns the paths of all nodes from the root to the path.
func pathsFromRoot(path string) []string {
	out := []string{"/"}
	if path == "/" {
		return out
	}
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			out = append(out, path[:i])
		}
	}
	return append(out, path)
}
