package outputlength

import "container/list"

// recency is a map that drops the least recently updated entry beyond a limit.
type recency[K comparable, V any] struct {
	limit int
	order *list.List
	items map[K]*list.Element
}

type recencyItem[K comparable, V any] struct {
	key   K
	value V
}

func newRecency[K comparable, V any](limit int) *recency[K, V] {
	return &recency[K, V]{
		limit: limit,
		order: list.New(),
		items: make(map[K]*list.Element),
	}
}

// get returns the value of key without renewing it.
func (r *recency[K, V]) get(key K) (V, bool) {
	var none V
	if r == nil {
		return none, false
	}
	e, ok := r.items[key]
	if !ok {
		return none, false
	}
	return e.Value.(*recencyItem[K, V]).value, true
}

// renew returns the value of key as the most recent one, created if absent.
func (r *recency[K, V]) renew(key K, create func() V) V {
	if e, ok := r.items[key]; ok {
		r.order.MoveToFront(e)
		return e.Value.(*recencyItem[K, V]).value
	}
	item := &recencyItem[K, V]{key: key, value: create()}
	r.items[key] = r.order.PushFront(item)
	if r.order.Len() > r.limit {
		oldest := r.order.Remove(r.order.Back()).(*recencyItem[K, V])
		delete(r.items, oldest.key)
	}
	return item.value
}

// size counts the entries.
func (r *recency[K, V]) size() int {
	if r == nil {
		return 0
	}
	return len(r.items)
}
