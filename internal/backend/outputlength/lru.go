package outputlength

import "container/list"

// lru is a map that drops the least recently updated entry beyond a limit.
type lru[K comparable, V any] struct {
	limit int
	order *list.List
	items map[K]*list.Element
}

type lruItem[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](limit int) *lru[K, V] {
	return &lru[K, V]{
		limit: limit,
		order: list.New(),
		items: make(map[K]*list.Element),
	}
}

// get returns the value of key without renewing it.
func (r *lru[K, V]) get(key K) (V, bool) {
	var none V
	if r == nil {
		return none, false
	}
	e, ok := r.items[key]
	if !ok {
		return none, false
	}
	return e.Value.(*lruItem[K, V]).value, true
}

// touch returns the value of key as the most recent one, created if absent.
func (r *lru[K, V]) touch(key K, create func() V) V {
	if e, ok := r.items[key]; ok {
		r.order.MoveToFront(e)
		return e.Value.(*lruItem[K, V]).value
	}
	item := &lruItem[K, V]{key: key, value: create()}
	r.items[key] = r.order.PushFront(item)
	if r.order.Len() > r.limit {
		oldest := r.order.Remove(r.order.Back()).(*lruItem[K, V])
		delete(r.items, oldest.key)
	}
	return item.value
}

// size counts the entries.
func (r *lru[K, V]) size() int {
	if r == nil {
		return 0
	}
	return len(r.items)
}
