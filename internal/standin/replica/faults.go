package replica

// Faults holds the faults of a backend server. The zero value injects none.
type Faults struct {
	// Status is the status with which the server responds to a request that
	// has run; zero means 200.
	Status int
	// Decline refuses every request with status 503 and a header that says that the
	// request was not run.
	Decline bool
	// Leaving makes every answer say that the server is leaving.
	Leaving bool
	// RetryAfter is the value of the Retry-After header of a refusal by Decline; empty for
	// none.
	RetryAfter string
	// AnswerEarly makes a plain service respond to a request before it reads the
	// body.
	AnswerEarly bool
	// ForeignAnswer makes a plain service send a response to another request before
	// the right one.
	ForeignAnswer bool
	// EarlierRefusals is the number of times that the server writes the refusal of an earlier
	// request once more before each answer. It does so when a request has arrived.
	EarlierRefusals int
	// TruncateBody makes a plain service close the connection after half of the
	// response body.
	TruncateBody bool
	// NoContentLength makes a plain service omit the Content-Length header.
	NoContentLength bool
	// CutHead is the number of bytes before the end of the head at which the server stops to send
	// answers and closes the connection; zero for none.
	CutHead int
	// CutByReset makes the connection of such an answer end with a reset.
	CutByReset bool
	// CutCopies makes the reply to the last copy request of a run end there instead, and leaves
	// answers whole.
	CutCopies bool
	// Unsigned makes answers lack the server's signature.
	Unsigned bool
	// EndByClose makes streams come without chunks, so that they end with their connection.
	EndByClose bool
	// CrashAfter is the number of the event after which the engine calls Replica.OnCrash;
	// zero for never.
	CrashAfter int
	// BreakAfter is the number of the event after which every stream is broken;
	// zero breaks none.
	BreakAfter int
	// BreakWithinEvent makes a broken stream end with a partial event.
	BreakWithinEvent bool
	// StallBefore is the number of the event before which every stream stalls for
	// StallMillis; zero stalls none.
	StallBefore int
	StallMillis int
	// DripMillis is the pause between the bytes of no event that a stalled stream sends;
	// zero sends none.
	DripMillis int
	// RefuseCopies makes the server respond to copy requests with status 503. The
	// last copy request of a run nevertheless stops the run.
	RefuseCopies bool
	// RefuseLastCopies is like RefuseCopies for the last copy requests of runs alone.
	RefuseLastCopies bool
	// RefuseMigrations makes the server refuse copy requests and continue its runs.
	// Their streams break when the server shuts down, at the time given to Drain.
	RefuseMigrations bool
	// CopyMillis is the duration of one copy of a run; zero means the usual one.
	CopyMillis int
	// BreakAtShutdown makes the server break the runs that are left at the time given to Drain.
	BreakAtShutdown bool
	// CrashPart is the ID of a part of prompts. The engine calls Replica.OnCrash when it
	// begins to answer a request with the part; empty for none.
	CrashPart string
	// CrashText is a text in the target or the body of requests. The server calls
	// Replica.OnCrash while it runs a request with the text; empty for none.
	CrashText string
	// CrashAfterAnswer makes a plain service call Replica.OnCrash a while after its answer instead.
	CrashAfterAnswer bool
	// Hang makes a plain service keep its requests without an answer until the fault ends. Queries
	// of its identity and of its report are answered.
	Hang bool
	// Endless makes the server send bytes without end in place of answers; nil for none.
	Endless *Endless
	// Raw is what the server sends in place of answers; nil for none.
	Raw *RawAnswer
	// RunMillis is the time for which a plain service runs a request.
	RunMillis int
}
