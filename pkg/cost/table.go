package cost

// table keeps at most limit entries by ID. The least recently used one makes room for
// a new one. Entries are found, and moved to the front, without allocation.
type table[ID comparable, V any] struct {
	limit int
	index map[ID]int32
	slots []slot[ID, V]
	// head is the most recently used slot, tail the least; -1 in an empty table.
	head, tail int32
	free       []int32
}

type slot[ID comparable, V any] struct {
	id         ID
	next, prev int32 // -1 for none
	value      V
}

func newTable[ID comparable, V any](limit int) table[ID, V] {
	return table[ID, V]{limit: limit, index: map[ID]int32{}, head: -1, tail: -1}
}

func (t *table[ID, V]) len() int { return len(t.index) }

// get returns the value of an ID, nil if there is none. It stays valid until the next
// call of add.
func (t *table[ID, V]) get(id ID) *V {
	i, ok := t.index[id]
	if !ok {
		return nil
	}
	return &t.slots[i].value
}

// use returns the value of an ID and makes it the most recently used one.
func (t *table[ID, V]) use(id ID) *V {
	i, ok := t.index[id]
	if !ok {
		return nil
	}
	if i != t.head {
		t.unlink(i)
		t.pushFront(i)
	}
	return &t.slots[i].value
}

// add adds a zero value for an ID that is not in the table.
func (t *table[ID, V]) add(id ID) *V {
	if len(t.index) >= t.limit {
		t.remove(t.last())
	}
	var i int32
	if n := len(t.free); n > 0 {
		i = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		i = int32(len(t.slots))
		t.slots = append(t.slots, slot[ID, V]{})
	}
	t.slots[i] = slot[ID, V]{id: id}
	t.index[id] = i
	t.pushFront(i)
	return &t.slots[i].value
}

// last returns the least recently used ID of a table that is not empty.
func (t *table[ID, V]) last() ID { return t.slots[t.tail].id }

func (t *table[ID, V]) remove(id ID) {
	if i, ok := t.index[id]; ok {
		t.unlink(i)
		delete(t.index, id)
		t.free = append(t.free, i)
	}
}

func (t *table[ID, V]) unlink(i int32) {
	s := &t.slots[i]
	if s.prev >= 0 {
		t.slots[s.prev].next = s.next
	} else {
		t.head = s.next
	}
	if s.next >= 0 {
		t.slots[s.next].prev = s.prev
	} else {
		t.tail = s.prev
	}
}

func (t *table[ID, V]) pushFront(i int32) {
	t.slots[i].prev, t.slots[i].next = -1, t.head
	if t.head >= 0 {
		t.slots[t.head].prev = i
	} else {
		t.tail = i
	}
	t.head = i
}

// all calls f for each entry, the most recently used first.
func (t *table[ID, V]) all(f func(id ID, v *V)) {
	for i := t.head; i >= 0; i = t.slots[i].next {
		f(t.slots[i].id, &t.slots[i].value)
	}
}
