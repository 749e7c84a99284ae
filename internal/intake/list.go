package intake

// list is a doubly linked list whose entries are parts of their values, so that moving
// one allocates nothing. The zero value is empty.
type list[T any] struct{ root entry[T] }

// entry is a place in at most one list.
type entry[T any] struct {
	prev, next *entry[T]
	value      T
}

func (l *list[T]) front() *entry[T] {
	if l.root.next == nil || l.root.next == &l.root {
		return nil
	}
	return l.root.next
}

func (l *list[T]) pushBack(e *entry[T]) {
	if l.root.next == nil {
		l.root.prev, l.root.next = &l.root, &l.root
	}
	last := l.root.prev
	e.prev, e.next = last, &l.root
	last.next, l.root.prev = e, e
}

// remove takes the entry out of its list, if it is in one.
func (e *entry[T]) remove() {
	if e.next == nil {
		return
	}
	e.prev.next, e.next.prev = e.next, e.prev
	e.prev, e.next = nil, nil
}
