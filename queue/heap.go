package queue

// heap is a binary min-heap. Each item stores its position, so that any item can be removed in
// logarithmic time.
type heap[T any] struct {
	items []*Item[T]
	// before reports whether item a goes before item b.
	before func(a, b *Item[T]) bool
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) peek() *Item[T] {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *heap[T]) push(i *Item[T]) {
	i.index = len(h.items)
	h.items = append(h.items, i)
	h.siftUp(i.index)
}

func (h *heap[T]) remove(i *Item[T]) {
	position, last := i.index, len(h.items)-1
	h.swap(position, last)
	h.items[last] = nil
	h.items = h.items[:last]
	i.index = noIndex
	if position < last {
		h.siftDown(position)
		h.siftUp(position)
	}
}

func (h *heap[T]) swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	h.items[a].index = a
	h.items[b].index = b
}

func (h *heap[T]) siftUp(position int) {
	for position > 0 {
		parent := (position - 1) / 2
		if !h.before(h.items[position], h.items[parent]) {
			return
		}
		h.swap(position, parent)
		position = parent
	}
}

func (h *heap[T]) siftDown(position int) {
	for {
		child := 2*position + 1
		if child >= len(h.items) {
			return
		}
		if right := child + 1; right < len(h.items) && h.before(h.items[right], h.items[child]) {
			child = right
		}
		if !h.before(h.items[child], h.items[position]) {
			return
		}
		h.swap(position, child)
		position = child
	}
}
