package simulation

// Scenario describes the arrivals and the failures of a trial.
type Scenario struct {
	// Name is the name of the scenario as printed in tables.
	Name string
	// Load is the factor on the arrival rates of all classes.
	Load float64
	// HeavyTail widens the distribution of the answer lengths.
	HeavyTail bool
	// BurstFactor is the factor on the load during bursts. The load between bursts
	// is reduced so that the mean load stays the same. Zero means no bursts.
	BurstFactor float64
	// FloodFactor is the factor on the arrival rate of the first account in the
	// middle third of the trial, except for urgent requests. Zero means no flood.
	FloodFactor float64
	// Loss is the failure of backend servers.
	Loss Loss
}

// Loss is a failure half-way through a trial: NoLoss, ServerLoss or ZoneLoss.
type Loss interface {
	loss()
}

// NoLoss means that no backend server fails.
type NoLoss struct{}

// ServerLoss fails the backend server that uses the most memory.
type ServerLoss struct{}

// ZoneLoss fails all backend servers of the first availability zone, which is one of
// those with the most backend servers.
type ZoneLoss struct{}

func (NoLoss) loss()     {}
func (ServerLoss) loss() {}
func (ZoneLoss) loss()   {}

// Scenarios returns all scenarios of the policy table.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "idle", Load: 0.3, Loss: NoLoss{}},
		{Name: "steady", Load: 0.8, Loss: NoLoss{}},
		{Name: "busy", Load: 1.0, Loss: NoLoss{}},
		{Name: "overload", Load: 1.6, Loss: NoLoss{}},
		{Name: "heavy tail", Load: 1.0, HeavyTail: true, Loss: NoLoss{}},
		{Name: "bursts", Load: 0.9, BurstFactor: 2.5, Loss: NoLoss{}},
		{Name: "flood", Load: 0.8, FloodFactor: 6, Loss: NoLoss{}},
		{Name: "server loss", Load: 1.0, Loss: ServerLoss{}},
		{Name: "zone loss", Load: 0.9, Loss: ZoneLoss{}},
	}
}

const (
	// burstSeconds is the duration of a burst together with the period of lower
	// load after it.
	burstSeconds = 60
	// burstPermille is the part of burstSeconds that the burst takes.
	burstPermille = 300
	// lossAtPermille is the time of the failure, in thousandths of the trial's
	// length.
	lossAtPermille = 500
	// outageSeconds is how long failed backend servers are unavailable.
	outageSeconds = 60
	// heavyTailFactor is the factor on the standard deviation of the lengths'
	// logarithm if the scenario has a heavy tail.
	heavyTailFactor = 2
)

// loadFactor returns the factor on the arrival rates at a time of the trial.
func (s Scenario) loadFactor(micros int64) float64 {
	if s.BurstFactor == 0 {
		return s.Load
	}
	phase := micros % (burstSeconds * microsPerSecond)
	if phase*1000 < burstPermille*burstSeconds*microsPerSecond {
		return s.Load * s.BurstFactor
	}
	betweenBursts := (1000 - burstPermille*s.BurstFactor) / (1000 - burstPermille)
	return s.Load * betweenBursts
}

// flooding reports whether the first account floods at a time of a trial with the
// given length in microseconds.
func (s Scenario) flooding(micros, length int64) bool {
	return s.FloodFactor > 0 && micros > length/3 && micros < 2*length/3
}
