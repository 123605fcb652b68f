package simulation

import (
	"testing"

	"github.com/matryer/is"
)

func rowOf(policy, class string, f Figures) Row {
	return Row{Policy: policy, Class: class, Seeds: []Figures{f}}
}

func TestJudge(t *testing.T) {
	cases := []struct {
		name     string
		forecast Figures
		baseline Figures
		want     []bool
	}{
		{
			"all met",
			Figures{GoodputPercent: 80, StallTail: 10, Preemptions: 50, FirstFar: 0.1},
			Figures{GoodputPercent: 80, StallTail: 20, Preemptions: 100, FirstFar: 0.1},
			[]bool{true, true, true, true, true},
		},
		{
			"all missed",
			Figures{GoodputPercent: 78, StallTail: 11, Preemptions: 51, FirstFar: 0.2},
			Figures{GoodputPercent: 80, StallTail: 20, Preemptions: 100, FirstFar: 0.1},
			[]bool{false, false, false, false, false},
		},
		{
			"idle and no worse",
			Figures{GoodputPercent: 100, StallTail: 0.04, FirstFar: 0.04},
			Figures{GoodputPercent: 100, StallTail: 0.03, FirstFar: 0.03},
			[]bool{true, true, true, true, true},
		},
	}
	d := Deployment{Classes: []Class{{Name: "desk", Urgent: true}}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var rows []Row
			for _, class := range []string{wholeClass, otherAccounts, "desk"} {
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

func TestCallStall(t *testing.T) {
	const second = microsPerSecond
	cases := []struct {
		name   string
		tokens []int64
		state  state
		end    int64
		want   int64
	}{
		{"never began", nil, stateGaveUp, 9 * second, 8 * second},
		{"no pause", []int64{2 * second, 2*second + 20_000}, stateCompleted, 3 * second, second},
		{"one pause", []int64{2 * second, 5 * second}, stateCompleted, 5 * second, 4 * second},
		{"left while it stood", []int64{2 * second}, stateGaveUp, 6 * second, 5 * second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			one := newCall(&Class{}, 0, 10, second)
			for _, at := range c.tokens {
				one.token(at)
			}
			one.state = c.state
			is.Equal(one.stallMicros(c.end), c.want)
		})
	}
}
