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

// TestRefusedConnectionsEndLostGeneration checks that a lost generation ends
// before the owner timeout if no process listens at the owner's address.
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
	is.Equal(result.Code, resultcode.GenerationLost) // and not DeadlineCut
	is.Equal(sink.text(), "one")
}

func TestOwnerTimeout(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	refused := errors.Wrap(syscall.ECONNREFUSED, "dial")
	timeout := ownerTimeout{deadline: at(15000)}
	timeout.observe(refused, at(0))
	timeout.observe(refused, at(1999))
	is.True(!timeout.expired(at(1999)))
	is.True(timeout.expired(at(2000)))
	timeout.observe(errNoProgress, at(2000)) // the connection was accepted
	is.True(!timeout.expired(at(2001)))
	timeout.observe(refused, at(14000))
	is.True(!timeout.expired(at(14999)))
	is.True(timeout.expired(at(15000)))
}
