package signal

import (
	"testing"

	"github.com/matryer/is"
)

func TestSetBeforeWorkCountsOnce(t *testing.T) {
	is := is.New(t)
	var s Signal
	is.Equal(pending(&s), 0)
	s.Set()
	s.Set()
	is.Equal(pending(&s), 1)
	s.Set()
	is.Equal(pending(&s), 1)
}

// pending takes the values that the channel holds and returns their number.
func pending(s *Signal) int {
	for n := 0; ; n++ {
		select {
		case <-s.C():
		default:
			return n
		}
	}
}
