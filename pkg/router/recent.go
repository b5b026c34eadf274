package router

// recent holds the values of the latest max keys that were added.
type recent[K comparable, V any] struct {
	max    int
	values map[K]V
	ring   []K
	next   int
}

func newRecent[K comparable, V any](n int) recent[K, V] {
	return recent[K, V]{max: n, values: map[K]V{}}
}

// add sets the value of a key. A new key replaces the oldest one if there are max.
func (r *recent[K, V]) add(k K, v V) {
	if _, ok := r.values[k]; !ok {
		if len(r.ring) < r.max {
			r.ring = append(r.ring, k)
		} else {
			delete(r.values, r.ring[r.next])
			r.ring[r.next] = k
			r.next = (r.next + 1) % r.max
		}
	}
	r.values[k] = v
}
