package hostlist

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestOddEntries guards against processes that stop following the host list as another writer has left
// an entry in it that describes no host.
func TestOddEntries(t *testing.T) {
	const sound = `{"Name":"b1","Role":"Backend","PeerAddress":"127.0.0.1:20001","State":"Live"}`
	const deep = 100_000
	for name, odd := range map[string]string{
		"deeply nested":       `{"Name":"odd","PeerAddress":` + strings.Repeat("[", deep) + strings.Repeat("]", deep) + `}`,
		"nested beside":       strings.Repeat(`{"a":`, deep) + "1" + strings.Repeat("}", deep),
		"number for a text":   `{"Name":1e999,"PeerAddress":"127.0.0.1:1"}`,
		"number too large":    `{"Name":"odd","Role":` + strings.Repeat("9", 400) + `}`,
		"no object":           `"odd"`,
		"nothing":             `null`,
		"port out of range":   `{"Name":"odd","PeerAddress":"127.0.0.1:70000"}`,
		"port zero":           `{"Name":"odd","PeerAddress":"127.0.0.1:0"}`,
		"no address and port": `{"Name":"odd","PeerAddress":"]["}`,
		"no name":             `{"PeerAddress":"127.0.0.1:1"}`,
		"bytes of no text":    "{\"Name\":\"odd\",\"State\":\"\xff\xfe\",\"PeerAddress\":7}",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(`{"Hosts":[` + odd + `,` + sound + `,` + odd + `]}`))
			}))
			defer server.Close()
			hosts, err := (&Client{Address: server.Listener.Addr().String()}).Hosts(t.Context())
			is.NoErr(err)
			is.Equal(hosts, []Host{{Name: "b1", Role: RoleBackend, PeerAddress: "127.0.0.1:20001", State: StateLive}})
		})
	}
}
