package storewatcher

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/platform"
)

// TestEvacuationOrders checks which orders hold after changes, after a complete read and after
// the store was restored from a copy that lacks an order.
func TestEvacuationOrders(t *testing.T) {
	order := func(zone string) platform.Record {
		return platform.Record{Key: "evacuate/" + zone, Value: []byte("{}")}
	}
	back := func(zone string) platform.Record { return platform.Record{Key: "evacuate/" + zone} }
	tests := []struct {
		name string
		read topicRead
		a, b bool
	}{
		{"no change", topicRead{}, true, false},
		{"a further order", topicRead{records: platform.Records{List: []platform.Record{order("b")}}}, true, true},
		{"taken back", topicRead{records: platform.Records{List: []platform.Record{back("a")}}}, false, false},
		{"given and taken back", topicRead{records: platform.Records{List: []platform.Record{order("b"), back("b")}}}, true, false},
		{"complete read", topicRead{complete: true, records: platform.Records{List: []platform.Record{order("b")}}}, false, true},
		{"restored copy", topicRead{complete: true, restored: true}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := &Watcher{Log: slog.New(slog.DiscardHandler)}
			w.updateEvacuations(topicRead{complete: true, records: platform.Records{List: []platform.Record{order("a")}}})
			w.updateEvacuations(tt.read)
			is.Equal(w.Evacuated("a"), tt.a)
			is.Equal(w.Evacuated("b"), tt.b)
		})
	}
}
