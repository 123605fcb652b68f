package storewatcher

import (
	"testing"

	"github.com/matryer/is"
)

// TestMaxAgeCoversTwoReads checks that data from a host that reaches the store is
// accepted even at its greatest age: just before the second of two consecutive reads
// without a change returns.
func TestMaxAgeCoversTwoReads(t *testing.T) {
	is := is.New(t)
	for _, f := range []follower{
		{waitMillis: changeWaitMillis},
		{waitMillis: changeWaitMillis, pauseMillis: serversPauseMillis},
	} {
		oldest := f.waitMillis + f.pauseMillis + f.waitMillis
		is.True(f.maxAgeMillis() > oldest)
		is.True(f.maxAgeMillis() < oldest+2*ageSlackMillis)
	}
}
