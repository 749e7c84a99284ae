package dispatch

// indexedHeap is a binary heap whose items store their index, so that any item can
// be removed. An item outside the heap has the index -1.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

// min returns the first item; the heap must not be empty.
func (h *indexedHeap[T]) min() T { return h.items[0] }

func (h *indexedHeap[T]) push(item T) {
	h.items = append(h.items, item)
	*h.index(item) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

// remove removes item; it does nothing if item isn't in the heap.
func (h *indexedHeap[T]) remove(item T) {
	i := *h.index(item)
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(item) = -1
	if i < last {
		moved := h.items[i]
		h.down(i)
		h.up(*h.index(moved))
	}
}

// fix restores the heap order after the item's sort key has changed; it does
// nothing if item isn't in the heap.
func (h *indexedHeap[T]) fix(item T) {
	i := *h.index(item)
	if i < 0 {
		return
	}
	h.down(i)
	h.up(*h.index(item))
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
