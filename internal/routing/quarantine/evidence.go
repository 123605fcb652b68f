package quarantine

// Key identifies evidence: a part of prompts, and the ID of a backend server that crashed
// while it had a request with the part.
type Key struct {
	Part   string
	Server string
}

// Evidence is what an entry host saw of the crash of an engine: it had not begun to answer a
// request with a part in its prompt.
type Evidence struct {
	Key
	// Request is the ID of the request.
	Request string
	// Depth is the number of parts before this one in the prompt.
	Depth int
	// Sound says that the host had seen answers to requests with the part shortly before.
	Sound bool
	// UntilUnixMillis is the time of day until which the evidence holds. It tolerates clocks
	// that are some seconds off.
	UntilUnixMillis int64
}

// holds reports whether the evidence still holds. Evidence with an end that no host would set
// comes from a host whose time of day is far off.
func (e Evidence) holds(nowUnixMillis int64) bool {
	return e.UntilUnixMillis > nowUnixMillis && e.UntilUnixMillis < nowUnixMillis+2*evidenceMillis
}

// Crash is the crash of an engine while it had a request whose answer had not begun.
type Crash struct {
	Server  string
	Request string
	// Parts are the parts of the prompt that other requests may have, in order.
	Parts []string
	// AtUnixMillis is the time of day of the crash.
	AtUnixMillis int64
}

// Change is what an entry host has recorded: Evidence, Ended or Trial.
type Change interface{ isChange() }

// Ended says that a request with the part of evidence was answered, so that the part did not
// cause the crash.
type Ended struct{ Key }

func (Evidence) isChange() {}
func (Ended) isChange()    {}
func (Trial) isChange()    {}
