package router

// recent holds the values of the latest max keys that were added.
type recent[K comparable, V any] struct {
	max    int
	values map[K]recentValue[V]
	// nodes are the keys in a ring in order of their last addition, oldest is the
	// index of the first one.
	nodes  []recentNode[K]
	oldest int32
}

type recentValue[V any] struct {
	v    V
	node int32
}

type recentNode[K comparable] struct {
	key        K
	prev, next int32
}

func newRecent[K comparable, V any](n int) recent[K, V] {
	return recent[K, V]{max: n, values: map[K]recentValue[V]{}}
}

func (r *recent[K, V]) get(k K) (V, bool) {
	e, ok := r.values[k]
	return e.v, ok
}

// add sets the value of a key, which becomes the latest one. A new key replaces the oldest
// one if there are max.
func (r *recent[K, V]) add(k K, v V) {
	e, ok := r.values[k]
	switch {
	case ok:
		r.moveToEnd(e.node)
	case len(r.nodes) < r.max:
		e.node = r.appendNode(k)
	default:
		e.node = r.oldest
		delete(r.values, r.nodes[e.node].key)
		r.nodes[e.node].key = k
		r.oldest = r.nodes[e.node].next
	}
	e.v = v
	r.values[k] = e
}

func (r *recent[K, V]) appendNode(k K) int32 {
	n := int32(len(r.nodes))
	r.nodes = append(r.nodes, recentNode[K]{k, n, n})
	if n > 0 {
		r.link(n)
	}
	return n
}

// link puts a node before the oldest one, which is the end of the ring.
func (r *recent[K, V]) link(n int32) {
	last := r.nodes[r.oldest].prev
	r.nodes[n].prev, r.nodes[n].next = last, r.oldest
	r.nodes[last].next, r.nodes[r.oldest].prev = n, n
}

func (r *recent[K, V]) moveToEnd(n int32) {
	if n == r.oldest {
		r.oldest = r.nodes[n].next
		return
	}
	p, q := r.nodes[n].prev, r.nodes[n].next
	r.nodes[p].next, r.nodes[q].prev = q, p
	r.link(n)
}
