package leaseholder

import "time"

// Counts holds the counters of one partition.
type Counts struct {
	// Appends is the number of append calls to the log.
	Appends uint64
	// AppendedBytes is the size of the records of these calls.
	AppendedBytes uint64
	// Leases is the number of lease records to append. Repeated attempts for one
	// record count once.
	Leases uint64
	// Reads is the number of read calls to the log.
	Reads uint64
	// ReadBytes is the size of the records read.
	ReadBytes uint64
}

// PartitionStatus is the status of one partition at this entry host.
type PartitionStatus struct {
	// Partition is the number of the partition.
	Partition uint32
	// Holder is the name of the entry host whose lease is in force, as far as
	// the stream was read.
	Holder string
	// Bindings is the number of bound keys in the state.
	Bindings int
	// Waiting is the number of queued claims.
	Waiting int
	// LogDownUntil is when the log is used again after a failure. It is zero
	// while the log works.
	LogDownUntil time.Time
	// Counts holds the counters.
	Counts Counts
}

// Status returns the status of the partitions that this entry host has read or that
// have queued claims.
func (h *Holder) Status() []PartitionStatus {
	h.once.Do(h.prepare)
	var all []PartitionStatus
	for _, p := range h.partitions {
		if s, used := p.status(); used {
			all = append(all, s)
		}
	}
	return all
}

// status returns the status, and whether the partition is in use.
func (p *partition) status() (PartitionStatus, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PartitionStatus{
		Partition:    p.number,
		Waiting:      len(p.waiting),
		LogDownUntil: p.logDownUntil,
		Counts:       p.counts,
	}
	if p.state != nil {
		l, _ := p.state.Lease()
		s.Holder = l.Holder
		s.Bindings = p.state.Len()
	}
	return s, p.state != nil || len(p.waiting) > 0
}

func (p *partition) count(change func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}
