package simulation

import (
	"golang.org/x/sync/errgroup"
)

const (
	// allClasses is the name of the row for all classes together.
	allClasses = "all"
	// otherAccounts is the name of the row for all client accounts except the first,
	// which is the one that floods.
	otherAccounts = "other accounts"
)

// Comparison compares policies on the same arrivals.
type Comparison struct {
	// Deployment describes the backend servers and the mix of requests.
	Deployment Deployment
	// Scenario describes the arrivals and the failures.
	Scenario Scenario
	// Policies holds the policies to compare, Forecast last.
	Policies []Policy
	// Seeds holds the seeds. Each policy runs one trial for each seed.
	Seeds []uint64
	// Seconds is the virtual time during which requests arrive.
	Seconds int
}

// Run runs all trials, at most workers of them at once, and returns the rows of each
// policy in the order of Policies.
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

// policyRows returns the rows of one policy: one for all classes together, one for
// otherAccounts, and one for each class.
func policyRows(policy string, reports []Report) []Row {
	rows := []Row{
		{Policy: policy, Class: allClasses},
		{Policy: policy, Class: otherAccounts},
	}
	for _, class := range reports[0].Classes {
		rows = append(rows, Row{Policy: policy, Class: class.Class})
	}
	for _, r := range reports {
		total := r.Total()
		rows[0].Seeds = append(rows[0].Seeds, total.Metrics())
		rows[1].Seeds = append(rows[1].Seeds, r.OtherAccounts.Metrics())
		for i := range r.Classes {
			rows[i+2].Seeds = append(rows[i+2].Seeds, r.Classes[i].Metrics())
		}
	}
	return rows
}
