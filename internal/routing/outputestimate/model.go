package outputestimate

import (
	"math"
	"sync"
)

const (
	// maxSamples bounds the ended generations of a route that are remembered, so
	// that the estimate follows a change of the traffic.
	maxSamples = 240
	// refitSamples is the number of generations that end between two fits.
	refitSamples = 4
	// fitRounds is the number of rounds of one fit.
	fitRounds = 10
	// firstMedianTokens is the median that is assumed before the first sample, and
	// firstMaxShare bounds it as a share of the largest possible output.
	firstMedianTokens = 400
	firstMaxShare     = 0.25
	// firstSlope is the exponent with which outputs are assumed to grow with their
	// hints before the first sample, and firstSpread the spread around that.
	firstSlope  = 0.4
	firstSpread = 0.9
	// firstWeight is the number of samples that the first assumptions count for.
	firstWeight = 6
	// firstHintVariance is the variance of the logarithm of the hints that the first
	// assumptions stand for.
	firstHintVariance = 2
	// minSpread keeps a route with equal outputs from a distribution without width.
	minSpread = 0.1
)

// Model learns the outputs of the routes of one process. It is safe for concurrent
// use. The zero value is ready to use.
type Model struct {
	mu     sync.Mutex
	routes map[string]*routeModel
}

// routeModel holds the generations of one route and the line that was fitted to
// them.
type routeModel struct {
	// ended holds the newest ended generations, at most maxSamples.
	ended []observation
	// open holds the generations that still run.
	open map[*Sample]struct{}
	// endedSince is the number of generations that ended since the last fit.
	endedSince int
	line       line
}

// observation is one generation: an exact output, or the least that it would have
// been.
type observation struct {
	logHint   float64
	logOutput float64
	// atLeast says that the output was cut off, so that it would have been at least
	// logOutput.
	atLeast bool
}

// Sample is a running generation from which the model learns.
type Sample struct {
	model *Model
	route *routeModel
	hint  int
	max   int
	// produced is the number of tokens so far.
	produced int
}

// Estimate returns the distribution of the output of a request. A hint or maximum of
// zero means that the caller gave none.
func (m *Model) Estimate(route string, hint, maximum int) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.route(route, maximum)
	return Estimate{
		MedianTokens: max(math.Exp(r.line.at(logHint(hint, r.line))), 1),
		Spread:       r.line.spread,
		MaxTokens:    maximum,
	}
}

// Begin adds a running generation. End must be called when it ends.
func (m *Model) Begin(route string, hint, maximum int) *Sample {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.route(route, maximum)
	s := &Sample{model: m, route: r, hint: hint, max: maximum}
	r.open[s] = struct{}{}
	return s
}

// SetProduced records the number of tokens that the generation has produced.
func (s *Sample) SetProduced(tokens int) {
	s.model.mu.Lock()
	defer s.model.mu.Unlock()
	s.produced = tokens
}

// End removes the running generation. The argument complete says that it was not cut
// off before its end.
func (s *Sample) End(complete bool) {
	s.model.mu.Lock()
	defer s.model.mu.Unlock()
	r := s.route
	delete(r.open, s)
	if s.produced == 0 {
		return
	}
	atMax := s.max > 0 && s.produced >= s.max
	r.ended = append(r.ended, s.observation(!complete || atMax))
	if len(r.ended) > maxSamples {
		r.ended = r.ended[1:]
	}
	r.endedSince++
	if r.endedSince >= refitSamples {
		r.endedSince = 0
		r.line = fit(r.observations(), r.line)
	}
}

func (s *Sample) observation(atLeast bool) observation {
	return observation{
		logHint:   logHint(s.hint, s.route.line),
		logOutput: math.Log(float64(s.produced)),
		atLeast:   atLeast,
	}
}

// observations returns the ended generations and the open ones, which will be longer
// than they are now. Without the open ones, the long outputs would be missing while
// the process is young.
func (r *routeModel) observations() []observation {
	all := append([]observation(nil), r.ended...)
	for s := range r.open {
		if s.produced > 0 {
			all = append(all, s.observation(true))
		}
	}
	return all
}

// route returns the model of a route and creates it when there is none. The caller
// holds the mutex.
func (m *Model) route(name string, maximum int) *routeModel {
	if m.routes == nil {
		m.routes = make(map[string]*routeModel)
	}
	r, ok := m.routes[name]
	if !ok {
		r = &routeModel{open: make(map[*Sample]struct{}), line: firstLine(maximum)}
		m.routes[name] = r
	}
	return r
}

// logHint returns the logarithm of a hint; without a hint, that of a usual one.
func logHint(hint int, l line) float64 {
	if hint <= 0 {
		return l.center
	}
	return math.Log(float64(hint))
}
