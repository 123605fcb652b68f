package operatorfile

// Defaults of routing and policy.
const (
	// DefaultChoices is the default of Routing.Choices.
	DefaultChoices = 2
	// DefaultZonePreference is the default of Routing.ZonePreference, a moderate
	// preference.
	DefaultZonePreference = 0.5
	// DefaultPrefixAffinity is the default of Routing.PrefixAffinity, a moderate
	// preference.
	DefaultPrefixAffinity = 0.5
	// DefaultRetryRatio is the default of Routing.RetryRatio.
	DefaultRetryRatio = 0.1
	// DefaultMaxAttempts is the default of Routing.MaxAttempts.
	DefaultMaxAttempts = 4
	// DefaultStallWeight is the default of Policy.StallWeight.
	DefaultStallWeight = 1
	// DefaultPreemptionWeight is the default of Policy.PreemptionWeight.
	DefaultPreemptionWeight = 1
	// DefaultMemoryQuantile is the default of Policy.MemoryQuantile.
	DefaultMemoryQuantile = 0.9
	// DefaultUrgentHeadroomPermille is the default of
	// Policy.UrgentHeadroomPermille.
	DefaultUrgentHeadroomPermille = 50
	// DefaultQueueLimit is the default of Policy.QueueLimit.
	DefaultQueueLimit = 64
)

// Routing holds the operator's preferences for the choice of a backend server.
type Routing struct {
	// Choices is the number of backend servers that are compared for a request.
	Choices int `validate:"min=1,max=16"`
	// ZonePreference is the preference for a backend server in the own availability
	// zone. It ranges from 0, no preference, to 1, the strongest preference.
	ZonePreference float64 `validate:"min=0,max=1"`
	// PrefixAffinity is the preference for a backend server that has the prefix
	// of the prompt in its cache. It ranges from 0, which ignores the cache, to 1,
	// the strongest preference.
	PrefixAffinity float64 `validate:"min=0,max=1"`
	// RetryRatio is the number of retries that each successful request adds to the
	// retry budget.
	RetryRatio float64 `validate:"min=0,max=1"`
	// MaxAttempts is the maximum number of attempts of one request, including the
	// first.
	MaxAttempts int `validate:"min=1,max=32"`
}

// Policy holds the operator's weights and limits for the admission of generations to
// engines, and for their preemption.
type Policy struct {
	// StallWeight is the weight of stall time, relative to PreemptionWeight. The
	// more weight stalls have, the more risk of preemption is accepted to avoid
	// them.
	StallWeight float64 `validate:"min=0,max=1000000"`
	// PreemptionWeight is the weight of one preemption.
	PreemptionWeight float64 `validate:"min=0,max=1000000"`
	// MemoryQuantile is the quantile of the memory forecast that must fit into an
	// engine's memory when both weights are equal.
	MemoryQuantile float64 `validate:"gt=0,max=1"`
	// UrgentHeadroomPermille is the part of an engine's memory and of its batch
	// slots that is reserved for urgent requests, in thousandths.
	UrgentHeadroomPermille int `validate:"min=0,max=999"`
	// QueueLimit bounds the queue of one backend server: a request is queued only
	// if fewer requests than this start before it. The whole queue holds at most
	// four times as many requests.
	QueueLimit int `validate:"min=0,max=1000000"`
}

// DefaultRouting returns the values of the fields that an operator file leaves
// out.
func DefaultRouting() Routing {
	return Routing{
		Choices:        DefaultChoices,
		ZonePreference: DefaultZonePreference,
		PrefixAffinity: DefaultPrefixAffinity,
		RetryRatio:     DefaultRetryRatio,
		MaxAttempts:    DefaultMaxAttempts,
	}
}

// DefaultPolicy returns the values of the fields that an operator file leaves out.
func DefaultPolicy() Policy {
	return Policy{
		StallWeight:            DefaultStallWeight,
		PreemptionWeight:       DefaultPreemptionWeight,
		MemoryQuantile:         DefaultMemoryQuantile,
		UrgentHeadroomPermille: DefaultUrgentHeadroomPermille,
		QueueLimit:             DefaultQueueLimit,
	}
}
