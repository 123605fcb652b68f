// Package routetable holds a configuration of routes, services and client
// accounts, as one immutable value that answers the questions of a request. It
// has no I/O and no clock.
package routetable

import (
	"strings"
)

// Kind says how often a request of a route may run.
type Kind int

// Kinds of request.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// Once requests run at most once.
	Once
	// Stream requests run at most once, unless their route is resumable.
	Stream
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "Idempotent"
	case Once:
		return "Once"
	case Stream:
		return "Stream"
	default:
		return "Unknown"
	}
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is not negative; the shares of a route are drawn by weight.
	Weight float64
}

// Route says where requests for a host and path prefix go.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// TimeoutMillis bounds the time until the final answer. Zero means none.
	TimeoutMillis int64
	// Priority is the rank among routes; zero is the most urgent.
	Priority int
	// Shares holds at least one service.
	Shares []Share
	// MaxAttempts is the number of backend servers that one request may be
	// sent to. It is at least one.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server after their last
	// whole event.
	Resumable bool
}

// Retryable reports whether a request may be sent again after it may have
// run. A stream that goes on after its last event counts as such.
func (r Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	// MemoryTokens is the engine's memory, in tokens.
	MemoryTokens int
	// TokenBytes is the memory of one token, in bytes.
	TokenBytes int64
	// LinkMegabits is the rate at which memory is copied, in megabits a second.
	LinkMegabits float64
}

// CopyTokensPerSecond returns how much memory a link copies in a second, in
// tokens; zero when the engine does not say.
func (e Engine) CopyTokensPerSecond() int {
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	if e.TokenBytes <= 0 {
		return 0
	}
	return int(e.LinkMegabits * bitsPerMegabit / bitsPerByte / float64(e.TokenBytes))
}

// Service is a group of backend servers that run the same program.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before that of the route; zero is the most urgent.
	Priority int
	// HasPriority says that Priority was given.
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderMillis   int64
	IdleMillis     int64
}

// Table is one version of the configuration. It never changes.
type Table struct {
	// Version only goes up from one configuration to the next.
	Version int64
	Limits  Limits
	// KeyRequired says that requests need a key unless their route is public.
	KeyRequired bool

	// routes by host, then by path prefix.
	routes   map[string]map[string]Route
	services map[string]Service
	accounts map[string]Account
}

// Definition is what a Table is built from.
type Definition struct {
	Version     int64
	Limits      Limits
	KeyRequired bool
	Routes      []Route
	Services    []Service
	// Accounts by key.
	Accounts map[string]Account
}

// New returns the configuration that a definition describes. The definition's maps must
// not change afterwards.
func New(d Definition) *Table {
	t := &Table{
		Version:     d.Version,
		Limits:      d.Limits,
		KeyRequired: d.KeyRequired,
		routes:      make(map[string]map[string]Route),
		services:    make(map[string]Service, len(d.Services)),
		accounts:    d.Accounts,
	}
	for _, route := range d.Routes {
		byPrefix, ok := t.routes[route.Host]
		if !ok {
			byPrefix = make(map[string]Route)
			t.routes[route.Host] = byPrefix
		}
		byPrefix[route.PathPrefix] = route
	}
	for _, service := range d.Services {
		t.services[service.Name] = service
	}
	return t
}

// Route returns the route of a host with the longest prefix of path. The host
// may carry a port and may be in any case.
func (t *Table) Route(host, path string) (Route, bool) {
	byPrefix := t.routes[hostname(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return Route{}, false
		}
		if route, ok := byPrefix[path[:slash+1]]; ok {
			return route, true
		}
		end = slash
	}
	return Route{}, false
}

// Account returns the client account that holds a key.
func (t *Table) Account(key string) (Account, bool) {
	account, ok := t.accounts[key]
	return account, ok
}

// Service returns a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Size returns the number of routes.
func (t *Table) Size() int {
	count := 0
	for _, byPrefix := range t.routes {
		count += len(byPrefix)
	}
	return count
}

// hostname returns a host in lower case and without its port.
func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// PickService returns the service of a request. The point lies in [0, 1) and is drawn
// at random by the caller.
func (r Route) PickService(point float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	rest := point * total
	for _, share := range r.Shares {
		if rest < share.Weight {
			return share.Service
		}
		rest -= share.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
