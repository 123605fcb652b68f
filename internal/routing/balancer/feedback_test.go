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

// TestRefusalHoldsForAccountAndClass checks that the refusal of one client
// account's class keeps neither its other classes nor other accounts away.
func TestRefusalHoldsForAccountAndClass(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := &Balancer{
		Name: "entry-1", Zone: "zone-1", Candidates: 8, Members: &membership.Table{},
		Configuration: func() *operatorfile.Document { return nil },
	}
	is.NoErr(r.Members.ApplyList(newHostList(1, 1), now))
	refused := dispatch.Selection{Service: "s", Model: "model-0", Account: "large-hall", Class: "programme"}
	target, none := r.Pick(refused, now)
	is.True(none == nil)
	full := resultcode.New(resultcode.QueueFull, "AccountLimit").WithRetryAt(now.Add(time.Second))
	r.Refused(refused, target, full, now)

	_, none = r.Pick(refused, now)
	is.Equal(none.Code, resultcode.NoBackend)
	urgent, other := refused, refused
	urgent.Class, urgent.Urgent = "session-check", true
	other.Account = "small-hall"
	for _, s := range []dispatch.Selection{urgent, other} {
		_, none = r.Pick(s, now)
		is.True(none == nil)
	}
	later := now.Add(2 * time.Second)
	_, none = r.Pick(refused, later)
	is.True(none == nil)
	r.Refused(other, target, full, later)
	is.Equal(len(r.refusingUntil), 1)
}
