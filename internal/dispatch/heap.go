package dispatch

// indexedHeap is a binary heap whose items know their place, so that any item
// can be removed. An item outside the heap has the place -1.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

// min returns the first item; the heap must not be empty.
func (h *indexedHeap[T]) min() T { return h.items[0] }

func (h *indexedHeap[T]) push(item T) {
	h.items = append(h.items, item)
	*h.place(item) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

// remove takes item out; it does nothing if item isn't in the heap.
func (h *indexedHeap[T]) remove(item T) {
	i := *h.place(item)
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.place(item) = -1
	if i < last {
		moved := h.items[i]
		h.down(i)
		h.up(*h.place(moved))
	}
}

// fix restores the order after the item's key changed; it does nothing if item
// isn't in the heap.
func (h *indexedHeap[T]) fix(item T) {
	i := *h.place(item)
	if i < 0 {
		return
	}
	h.down(i)
	h.up(*h.place(item))
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]) = i
	*h.place(h.items[j]) = j
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
