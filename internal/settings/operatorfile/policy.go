package operatorfile

// Defaults of routing and policy.
const (
	// DefaultChoices is the number of backend servers that are compared.
	DefaultChoices = 2
	// DefaultZonePreference prefers the own availability zone moderately.
	DefaultZonePreference = 0.5
	// DefaultPrefixAffinity prefers a cached prefix moderately.
	DefaultPrefixAffinity = 0.5
	// DefaultRetryRatio is the share of successes that may be retries.
	DefaultRetryRatio = 0.1
	// DefaultMaxAttempts limits the attempts of one request.
	DefaultMaxAttempts = 4
	// DefaultStallWeight is the weight of a second of stall time.
	DefaultStallWeight = 1
	// DefaultPreemptionWeight is the weight of one preemption.
	DefaultPreemptionWeight = 1
	// DefaultMemoryQuantile is the quantile of forecast memory that must fit.
	DefaultMemoryQuantile = 0.9
	// DefaultUrgentHeadroomPermille is the memory kept for urgent requests, in
	// thousandths.
	DefaultUrgentHeadroomPermille = 50
	// DefaultQueueLimit limits the requests that wait at one backend server.
	DefaultQueueLimit = 64
)

// Routing is the operator's intent for the choice of a backend server.
type Routing struct {
	// Choices is the number of backend servers that are compared.
	Choices int `validate:"min=1,max=16"`
	// ZonePreference is from 0, no preference, to 1, own availability zone
	// whenever it has room.
	ZonePreference float64 `validate:"min=0,max=1"`
	// PrefixAffinity is from 0, ignored, to 1, strongest.
	PrefixAffinity float64 `validate:"min=0,max=1"`
	// RetryRatio is the share of successes that may be retries.
	RetryRatio float64 `validate:"min=0,max=1"`
	// MaxAttempts limits the attempts of one request, the first included.
	MaxAttempts int `validate:"min=1,max=32"`
}

// Policy weighs the outcomes that operators measure.
type Policy struct {
	// StallWeight is the weight of a second of stall time.
	StallWeight float64 `validate:"min=0,max=1000000"`
	// PreemptionWeight is the weight of one preemption.
	PreemptionWeight float64 `validate:"min=0,max=1000000"`
	// MemoryQuantile is the quantile of forecast memory that must fit.
	MemoryQuantile float64 `validate:"gt=0,max=1"`
	// UrgentHeadroomPermille is the memory kept for urgent requests, in
	// thousandths.
	UrgentHeadroomPermille int `validate:"min=0,max=999"`
	// QueueLimit limits the requests that wait at one backend server.
	QueueLimit int `validate:"min=0,max=1000000"`
}

// DefaultRouting returns the values that stand for absent fields.
func DefaultRouting() Routing {
	return Routing{
		Choices:        DefaultChoices,
		ZonePreference: DefaultZonePreference,
		PrefixAffinity: DefaultPrefixAffinity,
		RetryRatio:     DefaultRetryRatio,
		MaxAttempts:    DefaultMaxAttempts,
	}
}

// DefaultPolicy returns the values that stand for absent fields.
func DefaultPolicy() Policy {
	return Policy{
		StallWeight:            DefaultStallWeight,
		PreemptionWeight:       DefaultPreemptionWeight,
		MemoryQuantile:         DefaultMemoryQuantile,
		UrgentHeadroomPermille: DefaultUrgentHeadroomPermille,
		QueueLimit:             DefaultQueueLimit,
	}
}
