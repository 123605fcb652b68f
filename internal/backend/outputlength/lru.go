package outputlength

import "container/list"

// lru is a map with a limited number of entries. When it exceeds the limit, it drops
// the least recently updated entry.
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

// get returns the value of key without marking it as updated.
func (l *lru[K, V]) get(key K) (V, bool) {
	var none V
	if l == nil {
		return none, false
	}
	e, ok := l.items[key]
	if !ok {
		return none, false
	}
	return e.Value.(*lruItem[K, V]).value, true
}

// touch returns the value of key and marks it as the most recently updated. If the
// key is absent, touch adds the value that create returns.
func (l *lru[K, V]) touch(key K, create func() V) V {
	if e, ok := l.items[key]; ok {
		l.order.MoveToFront(e)
		return e.Value.(*lruItem[K, V]).value
	}
	item := &lruItem[K, V]{key: key, value: create()}
	l.items[key] = l.order.PushFront(item)
	if l.order.Len() > l.limit {
		oldest := l.order.Remove(l.order.Back()).(*lruItem[K, V])
		delete(l.items, oldest.key)
	}
	return item.value
}

// size returns the number of entries.
func (l *lru[K, V]) size() int {
	if l == nil {
		return 0
	}
	return len(l.items)
}
