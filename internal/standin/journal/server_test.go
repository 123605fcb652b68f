package journal_test

import (
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/journal"
)

// logs returns the store itself and a client that reaches it over HTTP.
func logs(t *testing.T, store *standin.Store) map[string]journal.Log {
	t.Helper()
	server := httptest.NewServer((&standin.Server{Store: store}).Handler())
	t.Cleanup(server.Close)
	client := &journal.Client{Address: server.Listener.Addr().String(), HTTP: server.Client()}
	return map[string]journal.Log{"Store": store, "Client": client}
}

func TestLostAnswerTakesEffect(t *testing.T) {
	store := &standin.Store{}
	for name, log := range logs(t, store) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stream := "lost/" + name
			store.Faults.LoseAnswers.Store(1)
			_, err := log.Append(t.Context(), stream, []byte("one"))
			if !errors.Is(err, journal.ErrUnknown) {
				t.Fatalf("append: %v", err)
			}
			offset, err := log.Append(t.Context(), stream, []byte("two"))
			is.NoErr(err)
			is.Equal(offset, uint64(2))
			page, err := log.Read(t.Context(), stream, 1, 10)
			is.NoErr(err)
			is.Equal(len(page.Records), 2)
			is.Equal(string(page.Records[0].Data), "one")
		})
	}
}
