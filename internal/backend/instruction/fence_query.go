package instruction

// Highest returns the highest known fencing number.
func (f *Fence) Highest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest
}

// Open reports whether an order with the highest number would be sent now.
func (f *Fence) Open() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open()
}
