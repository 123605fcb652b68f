package operatorfile

// Values of Service.Kind.
const (
	// KindGeneration is a service whose backend servers are model engines.
	KindGeneration = "Generation"
	// KindPlain is a plain service, which has no model.
	KindPlain = "Plain"
)

// Document is a complete operator file. It must not be changed after Parse.
type Document struct {
	// Services have distinct names. There is at least one.
	Services []Service `validate:"min=1,dive"`
	// Models have distinct names.
	Models []Model `validate:"dive"`
	// Classes have distinct names. There is at least one.
	Classes []Class `validate:"min=1,dive"`
	// Accounts have distinct names. There is at least one.
	Accounts []Account `validate:"min=1,dive"`
	Routing  Routing
	Policy   Policy

	// index is nil in a document that was not parsed.
	index *index
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string `validate:"required,max=128"`
	// Kind is KindGeneration or KindPlain.
	Kind string `validate:"required,oneof=Generation Plain"`
	// Model names one of the document's models. It is set for KindGeneration
	// only.
	Model string `validate:"required_if=Kind Generation,excluded_if=Kind Plain"`
	// Calls are the permitted calls of a plain service. A call that is not listed
	// is refused. They are set for KindPlain only.
	Calls []Call `validate:"required_if=Kind Plain,excluded_if=Kind Generation,dive"`
}

// Call is a permitted call of a plain service.
type Call struct {
	// Method is an HTTP method.
	Method string `validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	// Path is the path of the call.
	Path string `validate:"required,startswith=/,max=1024"`
	// Repeatable reports whether the call is idempotent, and may thus be retried.
	Repeatable bool
}

// Model is a model that the engines of a service load.
type Model struct {
	Name    string `validate:"required,max=128"`
	Version string `validate:"required,max=128"`
	// Adapters are distinct.
	Adapters []string `validate:"dive,required,max=128"`
	// Replicas is the number of backend servers that should hold the model.
	Replicas int `validate:"min=1,max=100000"`
}

// Class is a group of requests that share priority, retry rules and limits.
type Class struct {
	Name string `validate:"required,max=128"`
	// Service names one of the document's services.
	Service string `validate:"required"`
	// Priority orders queued requests; higher priorities go first.
	Priority int `validate:"min=-1000,max=1000"`
	// Urgent reports whether requests of the class may use the memory that
	// Policy.UrgentHeadroomPermille reserves.
	Urgent bool
	// Repeatable reports whether a request may be retried after it was lost.
	Repeatable bool
	// Whole reports whether the answer is delivered only once it is complete, so
	// that a retry of a repeatable request is invisible to the caller.
	Whole bool
	// Worth is the value of one complete answer, relative to other classes.
	Worth float64 `validate:"min=0,max=1000000"`
	// MaxTokens is the maximum length of an answer, in tokens. It is positive for
	// a service of KindGeneration and zero for one of KindPlain.
	MaxTokens int `validate:"min=0,max=10000000"`
}

// Account is one client account.
type Account struct {
	Name string `validate:"required,max=128"`
	// Share is the account's weight under contention, relative to other
	// accounts.
	Share float64 `validate:"gt=0,max=1000000"`
	// RequestsPerSecond is the sustained request rate that the account may reach.
	RequestsPerSecond float64 `validate:"gt=0,max=1000000"`
	// Burst is the number of requests that the account may send at once.
	Burst int `validate:"min=1,max=1000000"`
	// Classes are the classes that the account may use. Empty means all.
	Classes []string `validate:"dive,required"`
}
