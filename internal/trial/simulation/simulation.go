// Package simulation compares the project's routing and admission policy with simple
// baselines in virtual time. It generates the arrivals, computes the engines' batches
// with the stand-in engine, and runs the same routing and admission code as the
// processes.
//
// A Trial simulates one policy in one scenario and returns a Report. A Comparison runs
// trials of several policies and seeds on the same arrivals and returns the rows of a
// table; Judge compares the rows of the project's policy with those of the baselines.
package simulation

import "github.com/fulmarvalve/fulmarvalve/internal/backend/admission"

// Trial is one simulation of a policy in a scenario. Its result depends only on its
// fields.
type Trial struct {
	// Deployment describes the backend servers and the mix of requests.
	Deployment Deployment
	// Scenario describes the arrivals and the failures.
	Scenario Scenario
	// Policy decides how requests are routed and admitted.
	Policy Policy
	// Seed determines all random numbers: arrivals, lengths and routing choices.
	// Arrivals and lengths do not depend on the policy.
	Seed uint64
	// Seconds is the virtual time during which requests arrive.
	Seconds int
}

// Policy is a policy under comparison: RoundRobin, LeastOutstanding, FirstCome or
// Forecast.
type Policy interface {
	policy()
}

// RoundRobin routes requests to the backend servers in turn. The engine admits
// requests by its own batch limit.
type RoundRobin struct{}

// LeastOutstanding routes each request to the backend server with the fewest open
// requests. All entry hosts know these numbers exactly and without delay. The engine
// admits requests by its own batch limit.
type LeastOutstanding struct{}

// FirstCome routes like Forecast. The engine admits requests by its own batch limit,
// first come, first served within a priority.
type FirstCome struct{}

// Forecast is the project's policy for routing, admission and preemption.
type Forecast struct {
	// Admission is the admission policy.
	Admission admission.Policy
	// EngineChooses leaves the choice of the generations to preempt to the engine.
	EngineChooses bool
}

func (RoundRobin) policy()       {}
func (LeastOutstanding) policy() {}
func (FirstCome) policy()        {}
func (Forecast) policy()         {}

// PolicyName returns the name of a policy as printed in tables.
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

// Baselines returns the policies that Forecast is compared with.
func Baselines() []Policy {
	return []Policy{RoundRobin{}, LeastOutstanding{}, FirstCome{}}
}
