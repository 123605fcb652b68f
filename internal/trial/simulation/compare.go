package simulation

import (
	"golang.org/x/sync/errgroup"
)

const (
	// allClasses names the line of all classes together.
	allClasses = "all"
	// otherAccounts names the line of the client accounts that do not flood.
	otherAccounts = "other accounts"
)

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

// policyRows returns the rows of one policy: all classes together, the accounts
// that do not flood, then each class.
func policyRows(policy string, reports []Report) []Row {
	rows := []Row{
		{Policy: policy, Class: allClasses},
		{Policy: policy, Class: otherAccounts},
	}
	for _, class := range reports[0].Classes {
		rows = append(rows, Row{Policy: policy, Class: class.Class})
	}
	for _, r := range reports {
		whole := r.Total()
		rows[0].Seeds = append(rows[0].Seeds, whole.Metrics())
		rows[1].Seeds = append(rows[1].Seeds, r.OtherAccounts.Metrics())
		for i := range r.Classes {
			rows[i+2].Seeds = append(rows[i+2].Seeds, r.Classes[i].Metrics())
		}
	}
	return rows
}
