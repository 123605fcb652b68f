package configversion

import (
	"flag"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/journal"
)

const (
	// changePeriodSeconds is the time between changes at 3,200 changes per day.
	changePeriodSeconds = 27
	// inForceLimitSeconds is the maximum time from the acceptance of a version
	// until it is in force in all nodes.
	inForceLimitSeconds = 13
	// bytesLimit is the maximum traffic of one node, sent and received, in bytes
	// per second.
	bytesLimit = 4096
)

// propagationCase is the set-up of one run in virtual time.
type propagationCase struct {
	name    string
	nodes   int
	changes int
	// document returns the operator file of a change.
	document func(number int) []byte
	// large marks runs that take minutes. They are skipped unless the flag
	// -large-fleets is set.
	large bool
	// lossPermille is the fraction of lost exchanges, and logLossPermille that of
	// failed reads of the log, in thousandths.
	lossPermille    int
	logLossPermille int
}

// propagation holds the measurements of one run.
type propagation struct {
	// inForce holds, for each change, the time from its acceptance until it was in
	// force in all nodes.
	inForce []time.Duration
	// bytesMean and bytesMax are the mean and the maximum traffic of the nodes, in
	// bytes per second.
	bytesMean, bytesMax float64
	// messages is the mean message rate of the nodes, in messages per second.
	messages float64
}

func measurePropagation(t *testing.T, c propagationCase, seed uint64) propagation {
	var result propagation
	synctest.Test(t, func(t *testing.T) {
		store := &standin.Store{}
		f := newFleet(store, c.nodes, seed)
		f.lossPermille = c.lossPermille
		for i, n := range f.nodes {
			n.journal.Log = &faultyReads{Store: store, fleet: f, lossPermille: c.logLossPermille}
			n.journal.down.Store(i%100 == 99) // every hundredth node never reaches the log
		}
		stop := f.start(t)
		begin := time.Now()
		for i := range c.changes {
			changedAt := time.Now()
			published := mustPublish(t, store, c.document(i))
			took, _ := f.awaitAll(published.Version, changePeriodSeconds*time.Second)
			result.inForce = append(result.inForce, took)
			time.Sleep(time.Until(changedAt.Add(changePeriodSeconds * time.Second)))
		}
		seconds := time.Since(begin).Seconds()
		stop()
		for _, n := range f.nodes {
			perSecond := float64(n.bytes.Load()) / seconds
			result.bytesMean += perSecond / float64(c.nodes)
			result.bytesMax = max(result.bytesMax, perSecond)
			result.messages += float64(n.messages.Load()) / seconds / float64(c.nodes)
		}
	})
	return result
}

var (
	largeFleets     = flag.Bool("large-fleets", false, "run the propagation test with large documents at 250 and 1260 nodes")
	propagationSeed = flag.Uint64("propagation-seed", 7, "seed of the propagation test")
)

// TestPropagation measures how quickly a version reaches all nodes and how much traffic
// that takes.
func TestPropagation(t *testing.T) {
	cases := []propagationCase{
		{name: "60 nodes", nodes: 60, changes: 3, document: largeDocument},
		{name: "60 nodes with losses", nodes: 60, changes: 3, document: largeDocument, lossPermille: 200, logLossPermille: 500},
		{name: "1260 nodes small document", nodes: 1260, changes: 2, document: smallDocument},
		{name: "250 nodes", nodes: 250, changes: 6, document: largeDocument, large: true},
		{name: "250 nodes with losses", nodes: 250, changes: 6, document: largeDocument, large: true, lossPermille: 200, logLossPermille: 500},
		{name: "1260 nodes", nodes: 1260, changes: 6, document: largeDocument, large: true},
		{name: "1260 nodes with losses", nodes: 1260, changes: 6, document: largeDocument, large: true, lossPermille: 200, logLossPermille: 500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.large && !*largeFleets {
				t.Skip("run with -args -large-fleets")
			}
			is := is.New(t)
			p := measurePropagation(t, c, *propagationSeed)
			slices.Sort(p.inForce)
			worst := p.inForce[len(p.inForce)-1]
			t.Logf("seed %d: in force after %v median, %v worst; %.0f bytes/s mean, %.0f worst node; %.2f messages/s",
				*propagationSeed, p.inForce[len(p.inForce)/2], worst, p.bytesMean, p.bytesMax, p.messages)
			is.True(worst <= inForceLimitSeconds*time.Second)
			is.True(p.bytesMax <= bytesLimit)
		})
	}
}
