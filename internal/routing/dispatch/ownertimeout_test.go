package dispatch

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

// TestRefusedConnectionsEndLostGeneration checks that a lost generation ends before
// the silence deadline when no process listens at its owner's address.
func TestRefusedConnectionsEndLostGeneration(t *testing.T) {
	is := is.New(t)
	o := &owner{name: "a", incarnation: 7}
	o.script = append(o.script, o.send(1, "one", "two"))
	stop := o.serveUntil(t)
	sink := &recordingSink{onTokens: stop}
	r := runner(&picker{owners: []*owner{o}}, nil)
	r.OwnerTimeoutMillis = 60000
	deadline := time.Now().Add(20 * time.Second)
	result := r.Generate(context.Background(), Request{ID: "r1", Repeatable: true, Deadline: deadline}, sink)
	is.Equal(result.Code, resultcode.GenerationLost) // not cut by the deadline
	is.Equal(sink.text(), "one")
}

func TestOwnerTimeout(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	refused := errors.Wrap(syscall.ECONNREFUSED, "dial")
	s := ownerTimeout{deadline: at(15000)}
	s.observe(refused, at(0))
	s.observe(refused, at(1999))
	is.True(!s.expired(at(1999)))
	is.True(s.expired(at(2000)))
	s.observe(errNoProgress, at(2000)) // something answered
	is.True(!s.expired(at(2001)))
	s.observe(refused, at(14000))
	is.True(!s.expired(at(14999)))
	is.True(s.expired(at(15000)))
}
