package operatorfile

import (
	"fmt"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/validation"
)

// checkDuplicates records a fault for each duplicate name in a list.
func checkDuplicates(report *validation.Report, d Document) {
	services := newDuplicateChecker("Services[%d].Name")
	for i, s := range d.Services {
		services.add(report, i, s.Name)
		checkCallDuplicates(report, i, s.Calls)
	}
	models := newDuplicateChecker("Models[%d].Name")
	for i, m := range d.Models {
		models.add(report, i, m.Name)
		adapters := newDuplicateChecker(fmt.Sprintf("Models[%d].Adapters[%%d]", i))
		for j, a := range m.Adapters {
			adapters.add(report, j, a)
		}
	}
	classes := newDuplicateChecker("Classes[%d].Name")
	for i, c := range d.Classes {
		classes.add(report, i, c.Name)
	}
	accounts := newDuplicateChecker("Accounts[%d].Name")
	for i, a := range d.Accounts {
		accounts.add(report, i, a.Name)
		allowed := newDuplicateChecker(fmt.Sprintf("Accounts[%d].Classes[%%d]", i))
		for j, c := range a.Classes {
			allowed.add(report, j, c)
		}
	}
}

func checkCallDuplicates(report *validation.Report, service int, calls []Call) {
	names := newDuplicateChecker(fmt.Sprintf("Services[%d].Calls[%%d]", service))
	for i, c := range calls {
		names.add(report, i, c.Method+" "+c.Path)
	}
}

// checkReferences records a fault for each name that refers to an item that is not
// in the document, and for each class whose MaxTokens does not fit its service.
func checkReferences(report *validation.Report, d Document) {
	known := newIndex(d)
	for i, s := range d.Services {
		if _, ok := known.models[s.Model]; !ok && s.Model != "" {
			report.Add(fmt.Sprintf("Services[%d].Model", i), fmt.Sprintf("no such model: %q", s.Model))
		}
	}
	for i, c := range d.Classes {
		checkClassReferences(report, i, c, d, known)
	}
	for i, a := range d.Accounts {
		for j, name := range a.Classes {
			if _, ok := known.classes[name]; !ok && name != "" {
				report.Add(fmt.Sprintf("Accounts[%d].Classes[%d]", i, j), fmt.Sprintf("no such class: %q", name))
			}
		}
	}
}

func checkClassReferences(report *validation.Report, i int, c Class, d Document, known *index) {
	at, ok := known.services[c.Service]
	if !ok {
		report.Add(fmt.Sprintf("Classes[%d].Service", i), fmt.Sprintf("no such service: %q", c.Service))
		return
	}
	path := fmt.Sprintf("Classes[%d].MaxTokens", i)
	switch kind := d.Services[at].Kind; {
	case kind == KindGeneration && c.MaxTokens == 0:
		report.Add(path, "a value is required for a generation")
	case kind == KindPlain && c.MaxTokens != 0:
		report.Add(path, "must be absent for a plain service")
	}
}

// duplicateChecker finds duplicate names in one list.
type duplicateChecker struct {
	// format is the format of a path; its argument is a position.
	format string
	// first holds the first position of each name.
	first map[string]int
}

func newDuplicateChecker(format string) duplicateChecker {
	return duplicateChecker{format: format, first: make(map[string]int)}
}

func (c duplicateChecker) add(report *validation.Report, position int, name string) {
	if name == "" {
		return
	}
	earlier, taken := c.first[name]
	if taken {
		report.Add(fmt.Sprintf(c.format, position), fmt.Sprintf("duplicate of %q at position %d", name, earlier))
		return
	}
	c.first[name] = position
}
