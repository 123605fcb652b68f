package simulation

import (
	"testing"

	"github.com/matryer/is"
)

// rowOf returns a row with the metrics of one seed.
func rowOf(policy, class string, m Metrics) Row {
	return Row{Policy: policy, Class: class, Seeds: []Metrics{m}}
}

func TestJudge(t *testing.T) {
	cases := []struct {
		name     string
		forecast Metrics
		baseline Metrics
		want     []bool
	}{
		{
			"all met",
			Metrics{GoodputPercent: 80, StallP95: 10, PreemptionsPerThousand: 50, FirstTokenP99: 0.1},
			Metrics{GoodputPercent: 80, StallP95: 20, PreemptionsPerThousand: 100, FirstTokenP99: 0.1},
			[]bool{true, true, true, true, true},
		},
		{
			"all missed",
			Metrics{GoodputPercent: 78, StallP95: 11, PreemptionsPerThousand: 51, FirstTokenP99: 0.2},
			Metrics{GoodputPercent: 80, StallP95: 20, PreemptionsPerThousand: 100, FirstTokenP99: 0.1},
			[]bool{false, false, false, false, false},
		},
		{
			"no stalls and no worse",
			Metrics{GoodputPercent: 100, StallP95: 0.04, FirstTokenP99: 0.04},
			Metrics{GoodputPercent: 100, StallP95: 0.03, FirstTokenP99: 0.03},
			[]bool{true, true, true, true, true},
		},
	}
	d := Deployment{Classes: []Class{{Name: "desk", Urgent: true}}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var rows []Row
			for _, class := range []string{allClasses, otherAccounts, "desk"} {
				rows = append(rows, rowOf(PolicyName(RoundRobin{}), class, c.baseline))
				rows = append(rows, rowOf(PolicyName(Forecast{}), class, c.forecast))
			}
			var got []bool
			for _, v := range Judge(d, rows) {
				got = append(got, v.Met)
			}
			is.Equal(got, c.want)
		})
	}
}

func TestCallStallTime(t *testing.T) {
	const second = microsPerSecond
	cases := []struct {
		name   string
		tokens []int64
		state  callState
		end    int64
		want   int64
	}{
		{"no token", nil, stateTimedOut, 9 * second, 8 * second},
		{"no stall between tokens", []int64{2 * second, 2*second + 20_000}, stateCompleted, 3 * second, second},
		{"one stall between tokens", []int64{2 * second, 5 * second}, stateCompleted, 5 * second, 4 * second},
		{"timed out during a stall", []int64{2 * second}, stateTimedOut, 6 * second, 5 * second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			one := newCall(&Class{}, 0, 10, second)
			for _, at := range c.tokens {
				one.recordToken(at)
			}
			one.state = c.state
			is.Equal(one.stallMicros(c.end), c.want)
		})
	}
}
