package dispatch

import (
	"context"
	"testing"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// serveBench starts an owner that answers with the given number of tokens.
func serveBench(b *testing.B, tokens int) *owner {
	b.Helper()
	o := &owner{name: "a", incarnation: 7}
	o.script = append(o.script, func(in *message.GenerateRequest, out message.DRPCBackend_GenerateStream) error {
		for n := range uint64(tokens) {
			if err := out.Send(o.tokens(in, n, "token ")); err != nil {
				return err
			}
		}
		return out.Send(o.end(in, uint64(tokens)))
	})
	return o.serve(b)
}

// discard is a sink that drops the answer.
type discard struct{ recordingSink }

func (*discard) Tokens(uint64, []string) error { return nil }

// BenchmarkRelayFrame measures the relay of one token frame from the owner to the
// sink, including both ends of the connection.
func BenchmarkRelayFrame(b *testing.B) {
	o := serveBench(b, b.N)
	r := runner(&picker{owners: []*owner{o}}, nil)
	b.ReportAllocs()
	b.ResetTimer()
	result := r.Generate(context.Background(), Request{ID: "r1", Repeatable: true}, &discard{})
	if result.Code != resultcode.OK {
		b.Fatal(result)
	}
}

// BenchmarkRelayRequest measures one request with a short answer, including its
// connection.
func BenchmarkRelayRequest(b *testing.B) {
	o := serveBench(b, 8)
	r := runner(&picker{owners: []*owner{o}}, nil)
	b.ReportAllocs()
	for b.Loop() {
		result := r.Generate(context.Background(), Request{ID: "r1", Repeatable: true}, &discard{})
		if result.Code != resultcode.OK {
			b.Fatal(result)
		}
	}
}
