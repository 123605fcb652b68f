package transport

import "sync/atomic"

// messageBytes counts the bytes of a message that is being received. It is safe for concurrent use.
type messageBytes struct{ count atomic.Int64 }

// add adds bytes and returns the sum.
func (m *messageBytes) add(n int) int64 { return m.count.Add(int64(n)) }

// reset begins the next message.
func (m *messageBytes) reset() { m.count.Store(0) }
