package operatorfile

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const valid = `{
  "Services": [
    {"Name": "drafts", "Kind": "Generation", "Model": "draft-model"},
    {"Name": "desk", "Kind": "Plain", "Calls": [{"Method": "GET", "Path": "/huts", "Repeatable": true}]}
  ],
  "Models": [{"Name": "draft-model", "Version": "4", "Adapters": ["is"], "Replicas": 10}],
  "Classes": [
    {"Name": "agreement", "Service": "drafts", "Priority": 1, "Worth": 10, "MaxTokens": 4000},
    {"Name": "booking", "Service": "desk", "Priority": 9, "Urgent": true}
  ],
  "Accounts": [{"Name": "north-shore", "Share": 2, "RequestsPerSecond": 5, "Burst": 10, "Classes": ["agreement"]}]
}`

func TestParseAppliesDefaults(t *testing.T) {
	is := is.New(t)
	document, err := Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(document.Routing, DefaultRouting())
	is.Equal(document.Policy, DefaultPolicy())
}

func TestParseKeepsExplicitZero(t *testing.T) {
	is := is.New(t)
	data := strings.Replace(valid, `"Accounts"`, `"Routing": {"RetryRatio": 0}, "Accounts"`, 1)
	document, err := Parse([]byte(data))
	is.NoErr(err)
	is.Equal(document.Routing.RetryRatio, 0.0)
	is.Equal(document.Routing.MaxAttempts, DefaultMaxAttempts)
}

func TestLookups(t *testing.T) {
	document, err := Parse([]byte(valid))
	is.New(t).NoErr(err)
	unindexed := document
	unindexed.index = nil
	for name, d := range map[string]Document{"parsed": document, "built": unindexed, "indexed": unindexed.WithIndex()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service, ok := d.Service("desk")
			is.True(ok)
			is.Equal(service.Kind, KindPlain)
			model, ok := d.Model("draft-model")
			is.True(ok)
			is.Equal(model.Replicas, 10)
			class, ok := d.Class("booking")
			is.True(ok)
			is.True(class.Urgent)
			account, ok := d.Account("north-shore")
			is.True(ok)
			is.Equal(account.Burst, 10)
			_, ok = d.Account("nobody")
			is.True(!ok)
		})
	}
}

func TestParseReportsFaults(t *testing.T) {
	tests := map[string]struct {
		old, replacement string
		want             []string
	}{
		"unknown field": {`"Burst": 10`, `"Burst": 10, "Brust": 1`, []string{
			"Accounts[0].Brust: unknown field",
		}},
		"field name in wrong case": {`"Burst"`, `"burst"`, []string{
			"Accounts[0].Burst: must be at least 1, found 0",
			"Accounts[0].burst: unknown field",
		}},
		"duplicate field": {`"Burst": 10`, `"Burst": 10, "Burst": 12`, []string{
			"Accounts[0].Burst: duplicate field",
		}},
		"wrong type": {`"Burst": 10`, `"Burst": "10"`, []string{
			`Accounts[0].Burst: expected a whole number, found the string "10"`,
		}},
		"null": {`"Burst": 10`, `"Burst": null`, []string{
			"Accounts[0].Burst: expected a whole number, found null",
		}},
		"fraction for a whole number": {`"Burst": 10`, `"Burst": 1.5`, []string{
			"Accounts[0].Burst: expected a whole number, found the number 1.5",
		}},
		"object for an array": {`["is"]`, `{"A": [1, {"B": 2}]}`, []string{
			"Models[0].Adapters: expected an array, found an object",
		}},
		"array for an object": {`"Accounts"`, `"Routing": [1], "Accounts"`, []string{
			"Routing: expected an object, found an array",
		}},
		"reference to an unknown service": {`"Service": "drafts"`, `"Service": "draughts"`, []string{
			`Classes[0].Service: no such service: "draughts"`,
		}},
		"reference to an unknown class": {`["agreement"]`, `["agreement", "x"]`, []string{
			`Accounts[0].Classes[1]: no such class: "x"`,
		}},
		"reference to an unknown model": {`"Model": "draft-model"`, `"Model": "x"`, []string{
			`Services[0].Model: no such model: "x"`,
		}},
		"duplicate class": {`"Name": "booking"`, `"Name": "agreement"`, []string{
			`Classes[1].Name: duplicate of "agreement" at position 0`,
		}},
		"MaxTokens of a plain service": {`"Urgent": true`, `"MaxTokens": 9`, []string{
			"Classes[1].MaxTokens: must be absent for a plain service",
		}},
		"calls of a generation service": {`"Kind": "Plain"`, `"Kind": "Generation", "Model": "draft-model"`, []string{
			"Classes[1].MaxTokens: a value is required for a generation",
			"Services[1].Calls: must be absent for this Kind",
		}},
		"several faults": {`"Version": "4"`, `"Edition": "4", "Version": ""`, []string{
			"Models[0].Edition: unknown field",
			"Models[0].Version: a value is required",
		}},
		"trailing text": {`["agreement"]}]` + "\n}", `["agreement"]}]` + "\n} x", []string{
			"line 12: unexpected text after the object",
		}},
		"truncated file": {`["agreement"]}]` + "\n}", `["agreement"]`, []string{
			"line 11: unexpected end of file",
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(valid, tt.old)) // the replacement has an effect
			_, err := Parse([]byte(strings.Replace(valid, tt.old, tt.replacement, 1)))
			var faults *Faults
			is.True(errors.As(err, &faults))
			is.Equal(strings.Split(faults.Error(), "\n"), tt.want)
		})
	}
}

func TestParseRefusesDeepNesting(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`{"X":` + strings.Repeat("[", 1<<20)))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "nested deeper than 32 levels"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"Services":[null,{"Name":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse(data)
		var faults *Faults
		if err != nil && (!errors.As(err, &faults) || len(faults.List) == 0) {
			t.Fatalf("got error %v, want *Faults with at least one fault", err)
		}
	})
}
