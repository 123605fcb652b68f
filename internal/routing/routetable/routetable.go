// Package routetable holds the operator's configuration of routes, services and
// client accounts, as one immutable value that is looked up for each request. It
// does no I/O and reads no clock.
package routetable

import (
	"slices"
	"strings"
)

// Kind says how often the requests of a route may run.
type Kind int

// Kinds of request.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// Once requests run at most once.
	Once
	// Stream requests are answered by a stream of events. They run at most once,
	// unless their route is resumable.
	Stream
)

// String returns the kind's name for logs.
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
	// Weight is not negative. A request goes to a share with a probability in
	// proportion to its weight.
	Weight float64
}

// Route says where the requests for a host and path prefix go.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// TimeoutMillis bounds the time until the final answer. Zero means none.
	TimeoutMillis int64
	// Priority ranks the route's requests; zero is the most urgent.
	Priority int
	// Shares holds at least one share.
	Shares []Share
	// MaxAttempts is the number of backend servers that may run one request. A server that
	// declined it does not count. It is at least one.
	MaxAttempts int
	// FirstEventMillis is the time to the first event within which a stream is on time;
	// zero when the operator gave none.
	FirstEventMillis int64
	// MaxPauseMillis is the longest pause between events within which a stream is on
	// time; zero when the operator gave none.
	MaxPauseMillis int64
	// Public routes do not require an API key.
	Public bool
	// Resumable streams may continue at another backend server after their last
	// complete event.
	Resumable bool
}

// Retryable reports whether a request may be sent again after it may have run.
// That holds for a resumable stream, as it continues after its last event.
func (r Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	// MemoryTokens is the size of the engine's memory for its generations (the KV
	// cache), in tokens.
	MemoryTokens int
	// TokenBytes is the size of one token in that memory, in bytes.
	TokenBytes int64
	// TokensPerEvent is the number of tokens in one event of a stream. It is at least
	// one.
	TokensPerEvent int
	// LinkMegabits is the rate of the links over which memory is copied, in
	// megabits per second.
	LinkMegabits float64
}

// CopyTokensPerSecond returns the memory that a link copies per second, in tokens;
// zero when the size of a token is not configured.
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
	// MaxPauseMillis is the smallest MaxPauseMillis of the routes of streams that lead to
	// the service; zero when none of them has one. New sets it.
	MaxPauseMillis int64
	// LowestPriority is the priority of the least urgent route of streams that leads to the
	// service; zero without one. New sets it.
	LowestPriority int
}

// OutputTokens returns the number of tokens in events of a stream. The events of a plain service
// hold none.
func (s Service) OutputTokens(events int) int {
	if s.Engine == nil {
		return 0
	}
	return events * max(s.Engine.TokensPerEvent, 1)
}

// Account is a client account.
type Account struct {
	Name string
	// Priority ranks the account's requests and outweighs the route's priority;
	// zero is the most urgent.
	Priority int
	// HasPriority says that Priority is configured.
	HasPriority bool
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderMillis bounds the time in which a request's header must arrive.
	HeaderMillis int64
	// IdleMillis bounds the time that a connection may stay idle.
	IdleMillis int64
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	// Version increases from one configuration to the next.
	Version int64
	Limits  Limits
	// KeyRequired says that requests need an API key unless their route is public.
	KeyRequired bool

	// routes holds the routes by host, then by path prefix.
	routes map[string]map[string]Route
	// services holds the services by name.
	services map[string]Service
	// accounts holds the client accounts by API key.
	accounts map[string]Account
}

// Definition holds the parts that a Table is built from.
type Definition struct {
	Version     int64
	Limits      Limits
	KeyRequired bool
	Routes      []Route
	Services    []Service
	// Accounts holds the client accounts by API key.
	Accounts map[string]Account
}

// New builds a table from a definition. The definition's maps must not be changed
// afterwards.
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
		service.MaxPauseMillis = leastPause(d.Routes, service.Name)
		service.LowestPriority = lowestPriority(d.Routes, service.Name)
		t.services[service.Name] = service
	}
	return t
}

// leastPause returns the smallest MaxPauseMillis of the routes of streams that lead to a
// service, or zero when none of them has one.
func leastPause(routes []Route, service string) int64 {
	least := int64(0)
	for _, route := range routes {
		if route.Kind == Stream && route.MaxPauseMillis > 0 && route.leadsTo(service) &&
			(least == 0 || route.MaxPauseMillis < least) {
			least = route.MaxPauseMillis
		}
	}
	return least
}

// leadsTo reports whether requests of the route may go to a service.
func (r Route) leadsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// lowestPriority returns the priority of the least urgent route of streams that leads to a
// service.
func lowestPriority(routes []Route, service string) int {
	lowest := 0
	for _, route := range routes {
		if route.Kind == Stream && route.leadsTo(service) {
			lowest = max(lowest, route.Priority)
		}
	}
	return lowest
}

// Route returns the host's route with the longest path prefix that matches path.
// The host may have a port and may be in upper or lower case.
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

// Account returns the client account that an API key belongs to.
func (t *Table) Account(key string) (Account, bool) {
	account, ok := t.accounts[key]
	return account, ok
}

// Service returns the service with a name.
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

// PickService returns the service for a request, picked by the weights of the
// shares. The caller passes a random point in [0, 1).
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
