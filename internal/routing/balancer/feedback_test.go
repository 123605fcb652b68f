package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/dispatch"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/membership"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// TestRefusalHoldsForAccountAndClass checks that a refusal for a class of a client
// account applies neither to its other classes nor to other accounts.
func TestRefusalHoldsForAccountAndClass(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := &Balancer{
		Name: "entry-1", Zone: "zone-1", Candidates: 8, Members: &membership.Table{},
		Configuration: func() *operatorfile.Document { return nil },
	}
	is.NoErr(b.Members.ApplyList(newHostList(1, 1), now))
	refused := dispatch.Selection{Service: "s", Model: "model-0", Account: "large-hall", Class: "programme"}
	target, none := b.Pick(refused, now)
	is.True(none == nil)
	full := resultcode.New(resultcode.QueueFull, "AccountLimit").WithRetryAt(now.Add(time.Second))
	b.Refused(refused, target, full, now)

	_, none = b.Pick(refused, now)
	is.Equal(none.Code, resultcode.NoBackend)
	urgent, other := refused, refused
	urgent.Class, urgent.Urgent = "session-check", true
	other.Account = "small-hall"
	for _, s := range []dispatch.Selection{urgent, other} {
		_, none = b.Pick(s, now)
		is.True(none == nil)
	}
	later := now.Add(2 * time.Second)
	_, none = b.Pick(refused, later)
	is.True(none == nil)
	b.Refused(other, target, full, later)
	is.Equal(len(b.refusingUntil), 1)
}
