package conf

import "reflect"

// maxStep bounds the records of a ServerDiff. Beyond it, taking over a snapshot as a
// whole is not slower.
const maxStep = 256

// ServerDiff lists the server records by which one snapshot differs from
// another.
type ServerDiff struct {
	// Set holds new and changed records, Old the records that were changed
	// or deleted, as they were.
	Set, Old []Server
}

// DiffServers returns the changes from old to next. It reports false when the
// nodes or domains may differ, which can affect every server, when there is no
// old snapshot, or when there are many changes. Snapshots share the maps of nodes
// and domains that a change leaves as they are.
func DiffServers(old, next *Snapshot) (ServerDiff, bool) {
	var s ServerDiff
	if old == nil || !shared(old.Nodes, next.Nodes) || !shared(old.Domains, next.Domains) {
		return s, false
	}
	kept := 0
	for name, rec := range next.Servers {
		was, ok := old.Servers[name]
		if ok {
			kept++
			if was == rec {
				continue
			}
			s.Old = append(s.Old, was)
		}
		s.Set = append(s.Set, rec)
		if len(s.Set) > maxStep {
			return ServerDiff{}, false
		}
	}
	if kept == len(old.Servers) {
		return s, true
	}
	for name, was := range old.Servers {
		if _, ok := next.Servers[name]; !ok {
			s.Old = append(s.Old, was)
		}
	}
	return s, len(s.Old) <= maxStep
}

// shared reports whether two maps are the same map.
func shared[T any](a, b map[string]T) bool {
	return a != nil && reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}
