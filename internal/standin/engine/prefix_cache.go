package engine

import "container/list"

// prefix is one cached prompt prefix.
type prefix struct {
	hash   uint64
	tokens int
	// users is the number of running jobs that share the prefix.
	users int
	// idleElement is the element of the prefix in the idle list; nil while users
	// is above zero.
	idleElement *list.Element
}

// prefixCache holds the computed prompt prefixes. Idle prefixes, which no running
// job uses, may be evicted, least recently used first.
type prefixCache struct {
	// entries holds the prefixes by hash.
	entries map[uint64]*prefix
	// idle holds the idle prefixes, least recently used first.
	idle list.List
	// idleTokens is the memory of the idle prefixes, in tokens.
	idleTokens int
}

// find returns the prefix with a hash, or nil.
func (c *prefixCache) find(hash uint64) *prefix {
	return c.entries[hash]
}

// store adds a prefix with one user.
func (c *prefixCache) store(hash uint64, tokens int) *prefix {
	if c.entries == nil {
		c.entries = make(map[uint64]*prefix)
	}
	p := &prefix{hash: hash, tokens: tokens, users: 1}
	c.entries[hash] = p
	return p
}

// acquire adds a user to a prefix.
func (c *prefixCache) acquire(p *prefix) {
	p.users++
	if p.idleElement == nil {
		return
	}
	c.idle.Remove(p.idleElement)
	p.idleElement = nil
	c.idleTokens -= p.tokens
}

// release removes a user from a prefix, which becomes idle with the last one; p may
// be nil.
func (c *prefixCache) release(p *prefix) {
	if p == nil {
		return
	}
	p.users--
	if p.users > 0 {
		return
	}
	p.idleElement = c.idle.PushBack(p)
	c.idleTokens += p.tokens
}

// evict removes the least recently used idle prefix; there must be one.
func (c *prefixCache) evict() *prefix {
	p := c.idle.Remove(c.idle.Front()).(*prefix)
	p.idleElement = nil
	c.idleTokens -= p.tokens
	delete(c.entries, p.hash)
	return p
}
