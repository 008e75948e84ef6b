package answer

// expiry is a heap of finished answers with the first to expire on top; it implements heap.Interface.
type expiry []*entry

// Len implements heap.Interface.
func (e expiry) Len() int { return len(e) }

// Less implements heap.Interface.
func (e expiry) Less(i, j int) bool { return e[i].expiresAt.Before(e[j].expiresAt) }

// Swap implements heap.Interface.
func (e expiry) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i+1, j+1
}

// Push implements heap.Interface.
func (e *expiry) Push(x any) {
	ent := x.(*entry)
	*e = append(*e, ent)
	ent.heapIndex = len(*e)
}

// Pop implements heap.Interface.
func (e *expiry) Pop() any {
	last := len(*e) - 1
	ent := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	ent.heapIndex = 0
	return ent
}
