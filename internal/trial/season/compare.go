package season

import (
	"golang.org/x/sync/errgroup"
)

// wholeClass names the line of all classes together.
const wholeClass = "all"

// Comparison sets policies against each other on the same arrivals.
type Comparison struct {
	// Deployment tells the backend servers and the mix of requests.
	Deployment Deployment
	// Scenario tells the arrivals and the failures.
	Scenario Scenario
	// Policies are compared, the project's last.
	Policies []Policy
	// Seeds are the seeds of the trials, one trial each for every policy.
	Seeds []uint64
	// Seconds is the length of the arrivals.
	Seconds int
}

// Run carries out all trials, at most workers at once, and returns a row for
// each policy and class, in order.
func (c Comparison) Run(workers int) ([]Row, error) {
	reports := make([][]Report, len(c.Policies))
	var group errgroup.Group
	group.SetLimit(workers)
	for i, p := range c.Policies {
		reports[i] = make([]Report, len(c.Seeds))
		for j, seed := range c.Seeds {
			group.Go(func() error {
				reports[i][j] = c.trial(p, seed).Run()
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var rows []Row
	for i, p := range c.Policies {
		rows = append(rows, policyRows(PolicyName(p), reports[i])...)
	}
	return rows, nil
}

func (c Comparison) trial(p Policy, seed uint64) Trial {
	return Trial{
		Deployment: c.Deployment,
		Scenario:   c.Scenario,
		Policy:     p,
		Seed:       seed,
		Seconds:    c.Seconds,
	}
}

// policyRows returns the rows of one policy: all classes together, then each.
func policyRows(policy string, reports []Report) []Row {
	rows := []Row{{Policy: policy, Class: wholeClass}}
	for _, class := range reports[0].Classes {
		rows = append(rows, Row{Policy: policy, Class: class.Class})
	}
	for _, r := range reports {
		whole := r.Total().Figures()
		whole.GoodputPercent = 100 * r.Goodput()
		rows[0].Seeds = append(rows[0].Seeds, whole)
		for i, class := range r.Classes {
			rows[i+1].Seeds = append(rows[i+1].Seeds, class.Figures())
		}
	}
	return rows
}
