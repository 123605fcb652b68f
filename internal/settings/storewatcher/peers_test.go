package storewatcher

import (
	"testing"

	"github.com/matryer/is"
)

// What a host that reaches the store knows is taken over, also at its oldest:
// just before the second of two reads in which nothing changed returns.
func TestUsualAgeIsTakenOver(t *testing.T) {
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
