package serving

import (
	"encoding/json"
	"log/slog"
	"net/http"
)

// WriteJSON responds with value encoded as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		slog.Warn("standin: response was not written", "error", err)
	}
}
