package explanation

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// Find returns the records held for a request, oldest first.
func (r *Ring) Find(requestID string) []Record {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var found []Record
	for number := r.latest[requestID]; r.holds(number); {
		s := r.slots[(number-1)%uint64(r.capacity())]
		found = append(found, s.record)
		number = s.previous
	}
	slices.Reverse(found)
	return found
}

// Len returns the number of records held.
func (r *Ring) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.slots)
}

// holds reports whether the ring still holds the record with the given number.
func (r *Ring) holds(number uint64) bool {
	return number > 0 && number+uint64(r.capacity()) > r.added
}

// Encode returns each record as a line of JSON.
func Encode(records []Record) ([]string, error) {
	lines := make([]string, 0, len(records))
	for _, record := range records {
		text, err := json.Marshal(record)
		if err != nil {
			return nil, errors.Wrap(err, "encode record")
		}
		lines = append(lines, string(text))
	}
	return lines, nil
}

// Decode reads the lines that Encode returns.
func Decode(lines []string) ([]Record, error) {
	records := make([]Record, len(lines))
	for i, line := range lines {
		if err := json.Unmarshal([]byte(line), &records[i]); err != nil {
			return nil, errors.Wrapf(err, "decode record %d", i)
		}
	}
	return records, nil
}
