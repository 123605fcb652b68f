package configversion

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
)

// smallDocument returns a small valid operator file, which is distinct for each number.
func smallDocument(number int) []byte {
	return []byte(fmt.Sprintf(`{
  "Services": [{"Name": "desk", "Kind": "Plain", "Calls": [{"Method": "GET", "Path": "/huts"}]}],
  "Classes": [{"Name": "booking", "Service": "desk"}],
  "Accounts": [{"Name": "account-%d", "Share": 1, "RequestsPerSecond": 1, "Burst": 1}]
}`, number))
}

// largeDocument returns a valid operator file with 490 client accounts, 40 classes and
// 20 services, which is distinct for each number.
func largeDocument(number int) []byte {
	var services, models, classes, accounts []string
	for i := range 20 {
		services = append(services, fmt.Sprintf(`{"Name":"service-%d","Kind":"Generation","Model":"model-%d"}`, i, i))
		models = append(models, fmt.Sprintf(`{"Name":"model-%d","Version":"%d","Replicas":%d}`, i, number+i, 20+i))
	}
	for i := range 40 {
		classes = append(classes, fmt.Sprintf(
			`{"Name":"class-%d","Service":"service-%d","Priority":%d,"Repeatable":%t,"Worth":%d,"MaxTokens":%d}`,
			i, i%20, i%9*10, i%2 == 0, 1+i%7, 400*(1+i%20)))
	}
	for i := range 490 {
		allowed := fmt.Sprintf(`["class-%d","class-%d","class-%d"]`, i%40, (i*7+1)%40, (i*i+3)%40)
		if i%40 == (i*7+1)%40 || i%40 == (i*i+3)%40 || (i*7+1)%40 == (i*i+3)%40 {
			allowed = "[]"
		}
		accounts = append(accounts, fmt.Sprintf(
			`{"Name":"client-account-%d-%x","Share":%d.%d,"RequestsPerSecond":%d,"Burst":%d,"Classes":%s}`,
			i, uint32(i)*2654435761, 1+i*i%19, i%10, 1+i*13%97, 2+i*29%193, allowed))
	}
	return []byte(`{"Services":[` + strings.Join(services, ",") + `],"Models":[` + strings.Join(models, ",") +
		`],"Classes":[` + strings.Join(classes, ",") + `],"Accounts":[` + strings.Join(accounts, ",") + `]}`)
}

func proposal(id string, replaces uint64, text []byte) Proposal {
	return Proposal{ID: id, Author: "operator of " + id, Replaces: replaces, Version: replaces + 1, Document: json.RawMessage(text)}
}

func mustEncode(t testing.TB, e Entry) []byte {
	t.Helper()
	data, err := Encode(e)
	is.New(t).NoErr(err)
	return data
}

func mustAppend(t testing.TB, log journal.Log, e Entry) uint64 {
	t.Helper()
	offset, err := log.Append(context.Background(), Stream, mustEncode(t, e))
	is.New(t).NoErr(err)
	return offset
}

// foldAll folds consecutive records, and returns the final state and the verdicts.
func foldAll(state State, records []journal.Record) (State, []Verdict) {
	var verdicts []Verdict
	for _, record := range records {
		next, v := state.Apply(record)
		state = next
		verdicts = append(verdicts, v)
	}
	return state, verdicts
}
