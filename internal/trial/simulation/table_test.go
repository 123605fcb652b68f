package simulation

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	full  = flag.Bool("full", false, "run all scenarios and seeds of the policy table")
	sweep = flag.Bool("sweep", false, "run the tests that vary the admission policy and the engine speed")
)

const (
	// tableSeconds is the length of each trial with -full or -sweep.
	tableSeconds = 600
	// tableWorkers is the maximum number of trials that run at once.
	tableWorkers = 3
)

// tableSeeds holds the seeds of the full table.
var tableSeeds = []uint64{1, 2, 3, 4, 5}

// TestPolicyTable logs the policy table. Without -full it runs one short scenario on
// scaled-down deployments.
func TestPolicyTable(t *testing.T) {
	scenarios, seeds, seconds := Scenarios(), tableSeeds, tableSeconds
	if !*full {
		scenarios = []Scenario{{Name: "short overload", Load: 1.6, Loss: NoLoss{}}}
		seeds, seconds = tableSeeds[:1], shortSeconds
	}
	t.Logf("seeds %v, %d s", seeds, seconds)
	for _, d := range []Deployment{SnagaZajedno(), Fjorukofar()} {
		if !*full {
			d = scaleDown(d)
		}
		for _, s := range scenarios {
			is := is.New(t)
			rows, err := Comparison{
				Deployment: d,
				Scenario:   s,
				Policies:   append(Baselines(), Forecast{Admission: d.Admission}),
				Seeds:      seeds,
				Seconds:    seconds,
			}.Run(tableWorkers)
			is.NoErr(err)
			logTable(t, d, s, rows)
		}
	}
}

func logTable(t *testing.T, d Deployment, s Scenario, rows []Row) {
	t.Helper()
	var out strings.Builder
	if err := WriteTable(&out, rows); err != nil {
		t.Fatal(err)
	}
	for _, v := range Judge(d, rows) {
		out.WriteString("- " + v.String() + "\n")
	}
	t.Logf("### %s, %s\n\n%s", d.Name, s.Name, out.String())
}

// TestMemoryQuantilesAndQueueLimits logs the rows for all classes together, for several
// memory quantiles and queue limits, from which the admission policies of the deployments
// are selected. It runs with -sweep only.
func TestMemoryQuantilesAndQueueLimits(t *testing.T) {
	if !*sweep {
		t.Skip("runs with -sweep only")
	}
	for _, d := range []Deployment{SnagaZajedno(), Fjorukofar()} {
		for _, s := range Scenarios() {
			if s.Name != "busy" && s.Name != "overload" && s.Name != "bursts" {
				continue
			}
			is := is.New(t)
			var rows []Row
			for _, quantile := range []float64{0.5, 0.7, 0.9} {
				for _, limit := range []int{8, 16, 32} {
					row, err := admissionRow(d, s, quantile, limit)
					is.NoErr(err)
					rows = append(rows, row)
				}
			}
			var out strings.Builder
			is.NoErr(WriteTable(&out, rows))
			t.Logf("### %s, %s\n\n%s", d.Name, s.Name, out.String())
		}
	}
}

// admissionRow returns the row for all classes together, for one memory quantile and
// queue limit.
func admissionRow(d Deployment, s Scenario, quantile float64, limit int) (Row, error) {
	policy := d.Admission
	policy.MemoryQuantile, policy.QueueLimit = quantile, limit
	rows, err := Comparison{
		Deployment: d,
		Scenario:   s,
		Policies:   []Policy{Forecast{Admission: policy}},
		Seeds:      tableSeeds[:3],
		Seconds:    tableSeconds,
	}.Run(tableWorkers)
	if err != nil {
		return Row{}, err
	}
	rows[0].Policy = fmt.Sprintf("quantile %v, queue %d", quantile, limit)
	return rows[0], nil
}

// TestFastPrompts logs the busy and the overload scenario for engines that compute
// prompts four times as fast. Recomputing the context of a preempted generation is then
// cheaper, so that preemptions cost the baselines less. It runs with -sweep only.
func TestFastPrompts(t *testing.T) {
	if !*sweep {
		t.Skip("runs with -sweep only")
	}
	for _, d := range []Deployment{SnagaZajedno(), Fjorukofar()} {
		d.Engine.PrefillMicros /= 4
		for _, s := range Scenarios() {
			if s.Name != "busy" && s.Name != "overload" {
				continue
			}
			is := is.New(t)
			rows, err := Comparison{
				Deployment: d,
				Scenario:   s,
				Policies:   append(Baselines(), Forecast{Admission: d.Admission}),
				Seeds:      tableSeeds,
				Seconds:    tableSeconds,
			}.Run(tableWorkers)
			is.NoErr(err)
			logTable(t, d, s, rows)
		}
	}
}
