package simulation

import (
	"testing"

	"github.com/matryer/is"
)

// shortSeconds is the length of the trials that run without -full.
const shortSeconds = 270

// scaleDown returns the deployment reduced to one backend server in each of three
// zones, with arrival rates reduced in proportion.
func scaleDown(d Deployment) Deployment {
	total := 0
	for _, count := range d.ZoneServers {
		total += count
	}
	d.ZoneServers = []int{1, 1, 1}
	classes := make([]Class, len(d.Classes))
	for i, c := range d.Classes {
		c.PerSecond *= float64(len(d.ZoneServers)) / float64(total)
		classes[i] = c
	}
	d.Classes = classes
	return d
}

func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	d := scaleDown(SnagaZajedno())
	trial := Trial{
		Deployment: d,
		Scenario:   Scenario{Load: 0.5, Loss: ServerLoss{}},
		Policy:     Forecast{Admission: d.Admission},
		Seed:       3,
		Seconds:    shortSeconds,
	}
	one, other := trial.Run(), trial.Run()
	first, second := one.Total(), other.Total()
	is.Equal(first.Metrics(), second.Metrics())
}

func TestEveryRequestEnds(t *testing.T) {
	scenarios := []Scenario{
		{Name: "flood", Load: 0.5, FloodFactor: 6, Loss: NoLoss{}},
		{Name: "zone loss", Load: 0.7, Loss: ZoneLoss{}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.Name, func(t *testing.T) {
			is := is.New(t)
			d := scaleDown(Fjorukofar())
			r := Trial{
				Deployment: d,
				Scenario:   scenario,
				Policy:     Forecast{Admission: d.Admission},
				Seed:       1,
				Seconds:    shortSeconds,
			}.Run()
			total := r.Total()
			is.True(total.Offered > 0)
			is.Equal(total.Offered, total.Completed+total.Refused+total.Lost+total.TimedOut)
		})
	}
}

func TestArrivalsDoNotDependOnPolicy(t *testing.T) {
	is := is.New(t)
	trial := Trial{Deployment: SnagaZajedno(), Scenario: Scenario{Load: 1}, Seed: 1, Seconds: 60}
	first := trial.arrivals()
	trial.Policy = RoundRobin{}
	second := trial.arrivals()
	is.Equal(len(first), len(second))
	for i := range first {
		is.Equal(first[i].arrived, second[i].arrived)
		is.Equal(first[i].outputTokens, second[i].outputTokens)
	}
}
