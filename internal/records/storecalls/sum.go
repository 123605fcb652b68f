package storecalls

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/requestlog"
)

// Row is the number of calls of all processes of a role with one cause.
type Row struct {
	Role string
	Cause
	Calls int64
	// Processes is the number of processes that made such calls.
	Processes int
}

// processTotals are the fields of a log line with the totals of a process.
type processTotals struct {
	Role              string
	Name              string
	StartedUnixMillis int64
	Totals            []Total
}

// process identifies a process, as one that restarts counts from zero again.
type process struct {
	prefix, role, name string
	startedUnixMillis  int64
}

// Sum returns the calls of all processes whose totals the log lines have, the most frequent cause
// of each role first. The newest line of each process counts.
func Sum(lines []requestlog.Line) []Row {
	newest := make(map[process]processTotals)
	loggedAt := make(map[process]time.Time)
	for _, line := range lines {
		totals, ok := decode(line)
		if !ok {
			continue
		}
		p := process{line.Process, totals.Role, totals.Name, totals.StartedUnixMillis}
		if _, known := newest[p]; !known || !line.Time.Before(loggedAt[p]) {
			newest[p], loggedAt[p] = totals, line.Time
		}
	}
	return sumRows(newest)
}

// decode returns the totals in a log line, or false if it has none.
func decode(line requestlog.Line) (processTotals, bool) {
	var totals processTotals
	if line.Message != message {
		return totals, false
	}
	data, err := json.Marshal(line.Fields)
	if err == nil {
		err = json.Unmarshal(data, &totals)
	}
	return totals, err == nil
}

func sumRows(newest map[process]processTotals) []Row {
	type key struct {
		role  string
		cause Cause
	}
	byCause := make(map[key]*Row)
	for p, totals := range newest {
		for _, total := range totals.Totals {
			k := key{p.role, Cause{Topic: total.Topic, Operation: total.Operation, Reason: total.Reason}}
			if byCause[k] == nil {
				byCause[k] = &Row{Role: k.role, Cause: k.cause}
			}
			byCause[k].Calls += total.Calls
			byCause[k].Processes++
		}
	}
	rows := make([]Row, 0, len(byCause))
	for _, row := range byCause {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Topic, b.Topic),
			cmp.Compare(a.Operation, b.Operation), cmp.Compare(a.Reason, b.Reason))
	})
	return rows
}

// Write prints the rows and their sum.
func Write(w io.Writer, rows []Row) error {
	sum := int64(0)
	for _, r := range rows {
		sum += r.Calls
		_, err := fmt.Fprintf(w, "%8d  %s %s %s %s, %d processes\n", r.Calls, r.Role, r.Topic, r.Operation, r.Reason, r.Processes)
		if err != nil {
			return errors.Wrap(err, "write calls to the store")
		}
	}
	_, err := fmt.Fprintf(w, "%8d  in all\n", sum)
	return errors.Wrap(err, "write calls to the store")
}
