package intake

// use is a use of the budget.
type use struct {
	connections int
	bytes       int64
	// largeBytes is the part of bytes that is used for large bodies.
	largeBytes int64
}

func (u use) add(by use) use {
	return use{connections: u.connections + by.connections, bytes: u.bytes + by.bytes, largeBytes: u.largeBytes + by.largeBytes}
}

// Usage is the use of a budget.
type Usage struct {
	// Connections is the number of open connections, and MostConnections its bound.
	Connections     int
	MostConnections int
	// UsedBytes is the memory that is held, and MostBytes its bound.
	UsedBytes int64
	MostBytes int64
	// MostQueueBytes bounds what the system holds of connections that are not accepted.
	MostQueueBytes int64
	// GaveWay is the number of connections that have given way to others since the process started, and
	// Refused the number of connections and requests that found no room.
	GaveWay int64
	Refused int64
}

// Usage returns the use of the budget; nothing for a nil Budget.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{
		Connections:     b.use.connections,
		MostConnections: b.MostConnections,
		UsedBytes:       b.use.bytes,
		MostBytes:       b.MostBytes,
		MostQueueBytes:  b.QueueBytes(),
		GaveWay:         b.gaveWay,
		Refused:         b.refused,
	}
}
