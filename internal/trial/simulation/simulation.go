// Package simulation measures the decision code against simple baselines in virtual
// time: generated arrivals, the engine's batch as the stand-in computes it, and
// the routing and admission code that the processes use.
package simulation

import "github.com/fulmarvalve/fulmarvalve/internal/backend/admission"

// Trial is one run of a policy on a scenario. It is a pure function of its
// fields.
type Trial struct {
	// Deployment tells the backend servers and the mix of requests.
	Deployment Deployment
	// Scenario tells the arrivals and the failures.
	Scenario Scenario
	// Policy decides.
	Policy Policy
	// Seed draws arrivals, lengths and choices. Arrivals and lengths do not
	// depend on the policy.
	Seed uint64
	// Seconds is the length of the arrivals in virtual time.
	Seconds int
}

// Policy is what is compared: RoundRobin, LeastOutstanding, FirstCome or
// Forecast.
type Policy interface {
	policy()
}

// RoundRobin takes the backend servers in turn. The engine admits by its own
// batch limit.
type RoundRobin struct{}

// LeastOutstanding takes the backend server with the fewest open requests, known
// exactly and without delay to all entry hosts. The engine admits by its own
// batch limit.
type LeastOutstanding struct{}

// FirstCome routes as Forecast does. The engine admits by its own batch limit,
// first come first served within a priority.
type FirstCome struct{}

// Forecast is the project's policy.
type Forecast struct {
	// Admission weighs admission.
	Admission admission.Policy
	// EngineChooses leaves the choice of whom to preempt to the engine.
	EngineChooses bool
}

func (RoundRobin) policy()       {}
func (LeastOutstanding) policy() {}
func (FirstCome) policy()        {}
func (Forecast) policy()         {}

// PolicyName returns the name of a policy in tables.
func PolicyName(p Policy) string {
	switch p.(type) {
	case RoundRobin:
		return "round robin"
	case LeastOutstanding:
		return "least outstanding"
	case FirstCome:
		return "first come"
	default:
		return "forecast"
	}
}

// Baselines returns the policies that the project's is compared with.
func Baselines() []Policy {
	return []Policy{RoundRobin{}, LeastOutstanding{}, FirstCome{}}
}
