package simulation

import "github.com/fulmarvalve/fulmarvalve/internal/backend/admission"

// Deployment is a set of equal backend servers with the requests they serve.
type Deployment struct {
	// Name names the deployment in tables.
	Name string
	// ZoneServers holds the backend servers of each availability zone.
	ZoneServers []int
	// EntriesPerZone counts the entry hosts of each availability zone.
	EntriesPerZone int
	// Engine tells how the engines behave.
	Engine EngineModel
	// Classes is the mix of requests.
	Classes []Class
	// AccountShares is the part of the requests of each client account. The
	// sum must be positive.
	AccountShares []float64
	// Admission holds the weights chosen for the deployment.
	Admission admission.Policy
}

// EngineModel tells the memory and the speed of an engine.
type EngineModel struct {
	// MemoryTokens is the whole memory, in tokens of context.
	MemoryTokens int
	// BatchLimit bounds the generations in one step.
	BatchLimit int
	// PrefillTokens is how many prompt tokens a generation computes in a step.
	PrefillTokens int
	// StepMicros is the time of an empty step.
	StepMicros int
	// SequenceMicros is the time that each generation adds to a step.
	SequenceMicros int
	// PrefillMicros is the time that each generation adds to a step while its
	// prompt is computed.
	PrefillMicros int
}

// Class is one kind of request.
type Class struct {
	// Name names the class in tables.
	Name string
	// Label is the class that the request carries at admission. Long and short
	// requests may carry the same.
	Label string
	// PerSecond is the rate of arrivals at load 1.
	PerSecond float64
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// PrefixTokens is the part of the prompt that an account's requests share.
	PrefixTokens int
	// MedianTokens is the median length of the answer.
	MedianTokens float64
	// Deviation is the standard deviation of the logarithm of the length.
	Deviation float64
	// MaxTokens bounds the answer.
	MaxTokens int
	// Priority is given to the engine and to the queue; higher goes first.
	Priority int
	// Urgent tells whether the class must be answered at once.
	Urgent bool
	// Repeatable tells whether a request may run more than once.
	Repeatable bool
	// DeadlineMillis is how long a caller waits for the whole answer.
	DeadlineMillis int
	// Worth is the value of one completed request.
	Worth float64
}

const (
	// urgentPriority is the priority of urgent classes.
	urgentPriority = 10
	// defaultDeadlineMillis and urgentMillis are the deadlines of usual requests and of
	// urgent ones.
	defaultDeadlineMillis = 120_000
	urgentDeadlineMillis  = 4_000
)

// skewedShares is the part of the requests of ten accounts, three of them
// large.
func skewedShares() []float64 {
	return []float64{0.25, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.04, 0.03, 0.03}
}

// admissionPolicy returns the default policy with the weights and the queue of a
// deployment.
func admissionPolicy(stall, preemption float64, queueLimit int) admission.Policy {
	p := admission.DefaultPolicy()
	p.StallWeight = stall
	p.PreemptionWeight = preemption
	p.QueueLimit = queueLimit
	return p
}

func defaultEngine() EngineModel {
	return EngineModel{
		MemoryTokens:   32_000,
		BatchLimit:     48,
		PrefillTokens:  256,
		StepMicros:     12_000,
		SequenceMicros: 250,
		PrefillMicros:  16_000,
	}
}

// SnagaZajedno serves twelve-week programmes, session checks and booking calls.
func SnagaZajedno() Deployment {
	return Deployment{
		Name:           "Snaga Zajedno",
		ZoneServers:    []int{4, 3, 3},
		EntriesPerZone: 2,
		Engine:         defaultEngine(),
		AccountShares:  skewedShares(),
		Admission:      admissionPolicy(2, 1, 10),
		Classes: []Class{
			{
				Name: "programme", Label: "coaching",
				PerSecond: 5, PromptTokens: 600, PrefixTokens: 256,
				MedianTokens: 1600, Deviation: 0.45, MaxTokens: 8000,
				Repeatable: true, DeadlineMillis: defaultDeadlineMillis, Worth: 10,
			},
			{
				Name: "check", Label: "coaching",
				PerSecond: 15, PromptTokens: 600, PrefixTokens: 256,
				MedianTokens: 120, Deviation: 0.6, MaxTokens: 2000,
				Repeatable: true, DeadlineMillis: defaultDeadlineMillis, Worth: 1,
			},
			{
				Name: "booking", Label: "booking",
				PerSecond: 10, PromptTokens: 120,
				MedianTokens: 30, Deviation: 0.4, MaxTokens: 200,
				Priority: urgentPriority, Urgent: true, Repeatable: true,
				DeadlineMillis: urgentDeadlineMillis, Worth: 2,
			},
		},
	}
}

// Fjorukofar serves once-only agreement drafts, answers on tides and keys, and
// booking-desk calls.
func Fjorukofar() Deployment {
	return Deployment{
		Name:           "Fjörukofar",
		ZoneServers:    []int{3, 3, 2, 2},
		EntriesPerZone: 2,
		Engine:         defaultEngine(),
		AccountShares:  skewedShares(),
		Admission:      admissionPolicy(1, 1.5, 16),
		Classes: []Class{
			{
				Name: "agreement", Label: "agreement",
				PerSecond: 6, PromptTokens: 900, PrefixTokens: 384,
				MedianTokens: 1200, Deviation: 0.5, MaxTokens: 8000,
				DeadlineMillis: defaultDeadlineMillis, Worth: 20,
			},
			{
				Name: "answer", Label: "answer",
				PerSecond: 25, PromptTokens: 400, PrefixTokens: 256,
				MedianTokens: 60, Deviation: 0.7, MaxTokens: 1000,
				Repeatable: true, DeadlineMillis: defaultDeadlineMillis, Worth: 1,
			},
			{
				Name: "desk", Label: "desk",
				PerSecond: 10, PromptTokens: 150,
				MedianTokens: 25, Deviation: 0.4, MaxTokens: 200,
				Priority: urgentPriority, Urgent: true, Repeatable: true,
				DeadlineMillis: urgentDeadlineMillis, Worth: 2,
			},
		},
	}
}
