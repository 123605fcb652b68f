package operatorfile

// Kinds of service.
const (
	// KindGeneration is a service of model engines.
	KindGeneration = "Generation"
	// KindPlain is a plain service beside the model engines.
	KindPlain = "Plain"
)

// Document is a whole operator file. It is immutable after Parse.
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
	// Calls are the calls of a plain service. A call that is not listed is
	// refused. They are set for KindPlain only.
	Calls []Call `validate:"required_if=Kind Plain,excluded_if=Kind Generation,dive"`
}

// Call is one call of a plain service.
type Call struct {
	// Method is an HTTP method.
	Method string `validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	// Path is the path of the call.
	Path string `validate:"required,startswith=/,max=1024"`
	// Repeatable says that the call is idempotent.
	Repeatable bool
}

// Model is what the engines of a service load.
type Model struct {
	Name    string `validate:"required,max=128"`
	Version string `validate:"required,max=128"`
	// Adapters are distinct.
	Adapters []string `validate:"dive,required,max=128"`
	// Replicas is the number of backend servers that should hold the model.
	Replicas int `validate:"min=1,max=100000"`
}

// Class groups requests that are treated alike.
type Class struct {
	Name string `validate:"required,max=128"`
	// Service names one of the document's services.
	Service string `validate:"required"`
	// Priority orders waiting requests: higher goes first.
	Priority int `validate:"min=-1000,max=1000"`
	// Urgent requests may use the headroom that the policy keeps.
	Urgent bool
	// Repeatable says that a lost request may run again.
	Repeatable bool
	// Whole says that nothing is delivered until the answer is complete, so
	// that a repeatable request can run again unseen.
	Whole bool
	// Worth is the value of one complete answer, relative to other classes.
	Worth float64 `validate:"min=0,max=1000000"`
	// MaxTokens limits an answer. It is positive for a generation.
	MaxTokens int `validate:"min=0,max=10000000"`
}

// Account is one client account.
type Account struct {
	Name string `validate:"required,max=128"`
	// Share is the account's weight under contention, relative to other
	// accounts.
	Share float64 `validate:"gt=0,max=1000000"`
	// RequestsPerSecond is the rate that the account may keep up.
	RequestsPerSecond float64 `validate:"gt=0,max=1000000"`
	// Burst is the number of requests that may come at once.
	Burst int `validate:"min=1,max=1000000"`
	// Classes are the classes that the account may use. Empty means all.
	Classes []string `validate:"dive,required"`
}
