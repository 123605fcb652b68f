package simulation

// Scenario tells the arrivals and the failures of a trial. Moments are in
// thousandths of the arrivals' length.
type Scenario struct {
	// Name names the scenario in tables.
	Name string
	// Load scales the rates of all classes.
	Load float64
	// HeavyTail widens the distribution of the lengths.
	HeavyTail bool
	// BurstFactor scales the load during bursts, which alternate with quiet
	// spells so that the mean stays. Zero means none.
	BurstFactor float64
	// FloodFactor scales the requests of the first account, urgent ones
	// excepted, in the middle third. Zero means none.
	FloodFactor float64
	// Loss takes backend servers away.
	Loss Loss
}

// Loss is what fails half-way through a trial: NoLoss, ServerLoss or ZoneLoss.
type Loss interface {
	loss()
}

// NoLoss leaves all backend servers.
type NoLoss struct{}

// ServerLoss takes the fullest backend server away.
type ServerLoss struct{}

// ZoneLoss takes the availability zone with the most backend servers away.
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
	// burstSeconds is the length of a burst with the quiet spell after it.
	burstSeconds = 60
	// burstPermille is the part of it that the burst takes.
	burstPermille = 300
	// lossAtPermille is the moment of the loss.
	lossAtPermille = 500
	// outageSeconds is how long lost backend servers stay away.
	outageSeconds = 60
	// heavyTailFactor widens the deviation of the lengths in a heavy tail.
	heavyTailFactor = 2
)

// loadFactor returns what scales the load at a moment.
func (s Scenario) loadFactor(micros int64) float64 {
	if s.BurstFactor == 0 {
		return s.Load
	}
	phase := micros % (burstSeconds * microsPerSecond)
	if phase*1000 < burstPermille*burstSeconds*microsPerSecond {
		return s.Load * s.BurstFactor
	}
	quiet := (1000 - burstPermille*s.BurstFactor) / (1000 - burstPermille)
	return s.Load * quiet
}

// flooding tells whether the flood is on at a moment of a trial.
func (s Scenario) flooding(micros, length int64) bool {
	return s.FloodFactor > 0 && micros > length/3 && micros < 2*length/3
}
