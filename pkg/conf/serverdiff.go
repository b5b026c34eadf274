package conf

import "reflect"

// maxDiffRecords is the largest number of new or of old records in a
// ServerDiff. With more changes, applying the whole snapshot is not slower.
const maxDiffRecords = 256

// ServerDiff lists the server records that differ between two snapshots.
type ServerDiff struct {
	// New holds added and changed records. Old holds the previous state of
	// changed and deleted records.
	New, Old []Server
}

// DiffServers returns the changes from old to next. It reports false if old is
// nil, if there are more than maxDiffRecords changes, or if the nodes or domains
// may differ, which can affect every server. It compares nodes and domains by
// the identity of their maps, which snapshots share unless a change concerns
// them.
func DiffServers(old, next *Snapshot) (ServerDiff, bool) {
	var diff ServerDiff
	if old == nil || !sameMap(old.Nodes, next.Nodes) || !sameMap(old.Domains, next.Domains) {
		return diff, false
	}
	kept := 0
	for name, rec := range next.Servers {
		prev, ok := old.Servers[name]
		if ok {
			kept++
			if prev == rec {
				continue
			}
			diff.Old = append(diff.Old, prev)
		}
		diff.New = append(diff.New, rec)
		if len(diff.New) > maxDiffRecords {
			return ServerDiff{}, false
		}
	}
	if kept == len(old.Servers) {
		return diff, true
	}
	for name, prev := range old.Servers {
		if _, ok := next.Servers[name]; !ok {
			diff.Old = append(diff.Old, prev)
		}
	}
	return diff, len(diff.Old) <= maxDiffRecords
}

// sameMap reports whether a and b are the same map and not nil.
func sameMap[T any](a, b map[string]T) bool {
	return a != nil && reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}
