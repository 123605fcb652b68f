package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlatformOddEntries guards against entry hosts and monitors that end, or stop following the list,
// as another writer has left entries among those of the backend servers that describe none. Requests of
// each kind are served meanwhile, a run moves, and a server that registers afterwards is used.
func TestPlatformOddEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const events = 450
	s := newPlatformSite(t, 2, 1)
	deep := strings.Repeat("[", 100_000)
	const format = `{"service":%q,"address":%s,"zone":"a","state":"ready","slots":%s,"cold_ms":%s,"born":1,"seq":1}`
	for _, service := range []string{"engines", "plain"} {
		for n, value := range []string{
			deep,
			fmt.Sprintf(format, service, `"127.0.0.1:1"`, deep+strings.Repeat("]", len(deep)), "0"),
			fmt.Sprintf(format, service, `"127.0.0.1:1"`, "1e400", "0"),
			fmt.Sprintf(format, service, `"127.0.0.1:1"`, "99999999999999999999", "0"),
			fmt.Sprintf(format, service, `"127.0.0.1:1"`, "-9223372036854775808", "0"),
			fmt.Sprintf(format, service, `"127.0.0.1:1"`, "24", "9223372036854775807"),
			fmt.Sprintf(format, service, `"127.0.0.1:70000"`, "24", "0"),
			fmt.Sprintf(format, service, `"127.0.0.1:0"`, "24", "0"),
		} {
			s.log.Put("keyed.servers", fmt.Sprint(service, n), []byte(value))
		}
		s.log.Put("keyed.servers", service+"\xff", fmt.Appendf(nil, format, service, `"127.0.0.1:1"`, "24", "0"))
		s.log.Put("keyed.servers", service+"\r\nX-Api-Key: 1", fmt.Appendf(nil, format, service, `"127.0.0.1:1"`, "24", "0"))
		// A sound entry of a server that is out of reach, with the largest numbers.
		s.log.Put("keyed.servers", service+"-far", fmt.Appendf(nil, format, service, `"127.0.0.1:1"`, "9223372036854775807", "86400000"))
	}
	await := s.sendInBackground(streamRequest("moved", events))
	s.activeEngine().Drain(time.Now().Add(shutdownNoticeMillis * time.Millisecond))
	for n, path := range []string{resumablePath, oncePath, plainPath} {
		got := s.send(context.Background(), requestTo(path, fmt.Sprint("odd", n)))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
	}
	moved := await()
	is.NoErr(moved.err)
	is.Equal(moved.events(), eventNumbers(events))

	s.addPlainServices(2) // the first replaces the only one, the second is new
	eventually(t, "a server that registers afterwards is used", func() error {
		s.send(context.Background(), requestTo(plainPath, fmt.Sprint("later", len(s.arrivals()))))
		if len(s.plainServices[2].Arrivals()) == 0 {
			return errNotYet
		}
		return nil
	})
	for _, p := range []*program{s.entry, s.engines[0].monitor, s.engines[1].monitor} {
		is.True(p.running())
	}
}
