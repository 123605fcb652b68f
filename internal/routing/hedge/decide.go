package hedge

// slowShare is the share of the other open calls of a route that may be late, and that of its recent
// calls. Beyond it the service is slow as a whole, and hedges would add load without another server
// that is faster. When all servers slow down together, few open calls are late at once, as each is
// late only in its last part; the share of recent calls shows it.
const slowShare = 0.25

// Facts are what the caller of Call.Decide knows of a request and of its service.
type Facts struct {
	// Suspected says that servers may crash under the request.
	Suspected bool
	// BudgetAllows says that the retry budget allows a hedge. Spent is the number of retries in
	// the window of the budget, and Budget the number that is allowed.
	BudgetAllows bool
	Spent        int
	Budget       float64
}

// Inputs are the inputs of a decision.
type Inputs struct {
	Facts
	// ElapsedMicros is the time since the first attempt began.
	ElapsedMicros int64
	// QuantileMicros is the answer time that 95 of 100 answers of the route do not exceed; zero
	// while it is not known. QuantileAgeMillis is the age of the newest answer from which it is
	// estimated, or -1 when there is none, and Answers the number of the answers.
	QuantileMicros    int64
	QuantileAgeMillis int64
	Answers           int
	// OthersOpen is the number of the other open calls of the route, and OthersLate that of those
	// that take longer than the quantile. The call itself says nothing of the service as a whole.
	OthersOpen int
	OthersLate int
	// RecentLate is the share of the recent calls of the route that were late.
	RecentLate float64
	// Hedges is the number of hedges of the route in the window, and Share the number that is
	// allowed.
	Hedges int
	Share  float64
}

// Decision is the outcome for a call, either Send or Wait.
type Decision interface {
	decision()
	// DecidedBy returns the inputs.
	DecidedBy() Inputs
}

// Send allows a hedge.
type Send struct{ Inputs Inputs }

// Wait means that only the first attempt goes on.
type Wait struct {
	Inputs Inputs
	Reason Reason
}

func (Send) decision() {}
func (Wait) decision() {}

// DecidedBy returns the inputs.
func (s Send) DecidedBy() Inputs { return s.Inputs }

// DecidedBy returns the inputs.
func (w Wait) DecidedBy() Inputs { return w.Inputs }

// Reason is why a call is not hedged.
type Reason int

// Reasons against a hedge, in the order in which they are checked.
const (
	// ReasonNoQuantile means that there are too few answers in the window.
	ReasonNoQuantile Reason = iota + 1
	// ReasonNotLate means that the first attempt is not late yet, by the quantile of now.
	ReasonNotLate
	// ReasonSuspected means that servers may crash under the request.
	ReasonSuspected
	// ReasonServiceSlow means that too many of the other open calls, or of the recent calls, are
	// late.
	ReasonServiceSlow
	// ReasonShare means that the route has used up its share of hedges.
	ReasonShare
	// ReasonBudget means that the retry budget must be left for failures.
	ReasonBudget
)

// String returns the name of the reason in Pascal case.
func (r Reason) String() string {
	switch r {
	case ReasonNoQuantile:
		return "NoQuantile"
	case ReasonNotLate:
		return "NotLate"
	case ReasonSuspected:
		return "Suspected"
	case ReasonServiceSlow:
		return "ServiceSlow"
	case ReasonShare:
		return "Share"
	case ReasonBudget:
		return "Budget"
	default:
		return "Unknown"
	}
}

// Decide decides whether a call is hedged.
func Decide(in Inputs) Decision {
	switch {
	case in.QuantileMicros == 0:
		return Wait{in, ReasonNoQuantile}
	case in.ElapsedMicros < in.QuantileMicros:
		return Wait{in, ReasonNotLate}
	case in.Suspected:
		return Wait{in, ReasonSuspected}
	case float64(in.OthersLate) > slowShare*float64(in.OthersOpen), in.RecentLate > slowShare:
		return Wait{in, ReasonServiceSlow}
	case float64(in.Hedges+1) > in.Share:
		return Wait{in, ReasonShare}
	case !in.BudgetAllows:
		return Wait{in, ReasonBudget}
	default:
		return Send{in}
	}
}
