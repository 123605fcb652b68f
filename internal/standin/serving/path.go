package serving

import (
	"net/http"
	"net/url"

	"github.com/gorilla/mux"
)

// PathValue returns the unescaped value of a path variable, for routers that match
// the encoded path.
func PathValue(r *http.Request, name string) string {
	escaped := mux.Vars(r)[name]
	value, err := url.PathUnescape(escaped)
	if err != nil {
		return escaped
	}
	return value
}
