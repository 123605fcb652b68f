package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

const signatureHeader = "Fulmarvalve-Response-Signature"

// TestUnsignedAnswers guards against a success without a signature that reaches the caller: on every
// kind of route, when one or all of the servers answer so.
func TestUnsignedAnswers(t *testing.T) {
	t.Parallel()
	const requests = 8
	s := newDeclineSite(t, 2, 2)
	unsigned := replica.Faults{Unsigned: true}
	s.engines[0].SetFaults(unsigned)
	s.plainServices[0].SetFaults(unsigned)
	for path, mayRepeat := range map[string]bool{streamPath: false, resumablePath: true, oncePath: false, plainPath: true} {
		t.Run("by one server, "+path, func(t *testing.T) {
			is := is.New(t)
			for n := range requests {
				got := s.send(context.Background(), requestTo(path, fmt.Sprint(path, n)))
				is.NoErr(got.err)
				is.True(got.status == http.StatusOK || (!mayRepeat && got.status == http.StatusBadGateway))
				is.Equal(got.header.Get(signatureHeader) != "", got.status == http.StatusOK)
			}
		})
	}
	s.setEngineFaults(unsigned)
	s.plainServices[1].SetFaults(unsigned)
	for _, path := range []string{streamPath, resumablePath, oncePath, plainPath} {
		t.Run("by all servers, "+path, func(t *testing.T) {
			is := is.New(t)
			got := s.send(context.Background(), requestTo(path, path))
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
		})
	}
	eventually(t, "the runs are dropped", func() error {
		for _, e := range s.engines {
			if e.Running() > 0 {
				return errNotYet
			}
		}
		return nil
	})
}

// TestUnsignedContinuation guards against a stream that goes on with an answer that lacks a signature:
// after the first engine broke it off, or at the engine that its run was moved to. It ends cut.
func TestUnsignedContinuation(t *testing.T) {
	t.Parallel()
	t.Run("resumed", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		const broken = 10
		s := newPlatformSite(t, 2, 0)
		s.engines[0].SetFaults(replica.Faults{BreakAfter: broken})
		s.engines[1].SetFaults(replica.Faults{Unsigned: true})
		got := s.send(context.Background(), requestTo(resumablePath, "resumed"))
		is.True(got.err != nil)
		is.Equal(got.header.Get(signatureHeader), s.engines[0].ID)
		is.Equal(got.events(), eventNumbers(broken))
		is.Equal(len(s.arrivals()), 2)
	})
	t.Run("moved", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		const events = 450
		s := newPlatformSite(t, 2, 0)
		await := s.sendInBackground(streamRequest("moved", events))
		e := s.activeEngine()
		s.setOthersFaults(e, replica.Faults{Unsigned: true})
		e.Drain(time.Now().Add(shutdownNoticeMillis * time.Millisecond))
		got := await()
		is.True(got.err != nil)
		is.Equal(got.header.Get(signatureHeader), e.ID)
		is.True(len(got.events()) < events)
		is.Equal(got.events(), eventNumbers(len(got.events())))
	})
}
