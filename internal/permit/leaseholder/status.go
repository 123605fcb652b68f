package leaseholder

import "time"

// Counts counts the work of one partition.
type Counts struct {
	// Appends are the calls that append to the log.
	Appends uint64
	// AppendedBytes are the bytes of these.
	AppendedBytes uint64
	// Leases are the lease records that were to be appended.
	Leases uint64
	// Reads are the calls that read from the log.
	Reads uint64
	// ReadBytes are the bytes of the records read.
	ReadBytes uint64
}

// PartitionStatus shows one partition at this entry host.
type PartitionStatus struct {
	// Partition is the number of the partition.
	Partition uint32
	// Holder is the name of the holder, as far as the stream was read.
	Holder string
	// Bindings is the number of bound keys held.
	Bindings int
	// Waiting is the number of claims that wait.
	Waiting int
	// LogDownUntil is when the log is tried again; zero while it answers.
	LogDownUntil time.Time
	// Counts counts the work done.
	Counts Counts
}

// Status returns the partitions that this entry host has read or that claims
// wait for.
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
