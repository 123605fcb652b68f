package simulation

import "github.com/fulmarvalve/fulmarvalve/internal/backend/admission"

// Deployment describes a set of equal backend servers and the requests that they
// serve.
type Deployment struct {
	// Name is the name of the deployment as printed in tables.
	Name string
	// ZoneServers holds the number of backend servers in each availability zone.
	ZoneServers []int
	// EntriesPerZone is the number of entry hosts in each availability zone.
	EntriesPerZone int
	// Engine describes the engines, which are all equal.
	Engine EngineModel
	// Classes is the mix of requests.
	Classes []Class
	// AccountShares holds the relative share of each client account in the requests
	// of each class. The sum must be positive.
	AccountShares []float64
	// Admission is the admission policy for the deployment.
	Admission admission.Policy
}

// EngineModel describes the memory and the speed of an engine.
type EngineModel struct {
	// MemoryTokens is the whole memory, in tokens of context.
	MemoryTokens int
	// BatchLimit is the maximum number of generations in one step.
	BatchLimit int
	// PrefillTokens is the number of prompt tokens that a generation computes in a
	// step.
	PrefillTokens int
	// StepMicros is the duration of an empty step, in microseconds.
	StepMicros int
	// SequenceMicros is the time that each generation adds to a step, in
	// microseconds.
	SequenceMicros int
	// PrefillMicros is the time that each generation adds to a step while its
	// prompt is computed, in microseconds.
	PrefillMicros int
}

// Class describes one kind of request.
type Class struct {
	// Name is the name of the class as printed in tables.
	Name string
	// Label is the class name that admission sees. Classes of long and of short
	// requests may have the same label, so that admission cannot tell them apart.
	Label string
	// PerSecond is the arrival rate at load 1, in requests per second.
	PerSecond float64
	// PromptTokens is the length of the prompt, in tokens.
	PromptTokens int
	// PrefixTokens is the length of the prompt prefix that the requests of an
	// account share, in tokens.
	PrefixTokens int
	// MedianTokens is the median length of an answer, in tokens.
	MedianTokens float64
	// Deviation is the standard deviation of the logarithm of the answer's length.
	Deviation float64
	// MaxTokens is the maximum length of an answer, in tokens.
	MaxTokens int
	// Priority orders requests in the admission queue and in the engine; a higher
	// priority goes first.
	Priority int
	// Urgent reports whether requests of the class must be answered at once.
	Urgent bool
	// Repeatable reports whether a request may be retried after it may have run.
	Repeatable bool
	// DeadlineMillis is how long a caller waits for the whole answer, in
	// milliseconds.
	DeadlineMillis int
	// Worth is the value of one completed request.
	Worth float64
}

const (
	// urgentPriority is the priority of urgent classes.
	urgentPriority = 10
	// defaultDeadlineMillis and urgentDeadlineMillis are the deadlines of requests
	// that are not urgent and of urgent ones, in milliseconds.
	defaultDeadlineMillis = 120_000
	urgentDeadlineMillis  = 4_000
)

// skewedShares returns the shares of ten accounts, three of which are large.
func skewedShares() []float64 {
	return []float64{0.25, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.04, 0.03, 0.03}
}

// admissionPolicy returns the default admission policy with the weights and the queue
// limit of a deployment.
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

// SnagaZajedno returns a deployment that serves twelve-week programmes, session checks
// and booking calls.
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

// Fjorukofar returns a deployment that serves non-idempotent agreement drafts, answers
// on tides and keys, and booking-desk calls.
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
