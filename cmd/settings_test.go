package cmd

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

var (
	sectionTitle = regexp.MustCompile(`(?m)^##+ (.+)$`)
	tableField   = regexp.MustCompile("(?m)^\\| `([A-Za-z]+)` \\|")
)

// TestSettingsReference checks that each section of the settings reference lists
// exactly the exported fields of its type, in order.
func TestSettingsReference(t *testing.T) {
	data, err := os.ReadFile("../docs/SETTINGS.md")
	is.New(t).NoErr(err)
	text := string(data)
	titles := sectionTitle.FindAllStringSubmatchIndex(text, -1)
	sections := map[string]string{}
	for i, at := range titles {
		end := len(text)
		if i+1 < len(titles) {
			end = titles[i+1][0]
		}
		sections[text[at[2]:at[3]]] = text[at[1]:end]
	}
	for title, value := range map[string]any{
		"Entry host":                      process.Entry{},
		"Process beside a backend server": process.Backend{},
		"Operator file":                   operatorfile.Document{},
		"Services":                        operatorfile.Service{},
		"Calls":                           operatorfile.Call{},
		"Models":                          operatorfile.Model{},
		"Classes":                         operatorfile.Class{},
		"Accounts":                        operatorfile.Account{},
		"Routing":                         operatorfile.Routing{},
		"Policy":                          operatorfile.Policy{},
	} {
		t.Run(title, func(t *testing.T) {
			is := is.New(t)
			var documented, declared []string
			for _, match := range tableField.FindAllStringSubmatch(sections[title], -1) {
				documented = append(documented, match[1])
			}
			for _, field := range reflect.VisibleFields(reflect.TypeOf(value)) {
				if field.IsExported() {
					declared = append(declared, field.Name)
				}
			}
			is.Equal(strings.Join(documented, " "), strings.Join(declared, " "))
		})
	}
}
