package operatorfile

import (
	"fmt"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/validation"
)

// checkDuplicates records a fault for each name that stands twice in its list.
func checkDuplicates(in *validation.Report, d Document) {
	services := newDuplicateChecker("Services[%d].Name")
	for i, s := range d.Services {
		services.add(in, i, s.Name)
		checkCallDuplicates(in, i, s.Calls)
	}
	models := newDuplicateChecker("Models[%d].Name")
	for i, m := range d.Models {
		models.add(in, i, m.Name)
		adapters := newDuplicateChecker(fmt.Sprintf("Models[%d].Adapters[%%d]", i))
		for j, a := range m.Adapters {
			adapters.add(in, j, a)
		}
	}
	classes := newDuplicateChecker("Classes[%d].Name")
	for i, c := range d.Classes {
		classes.add(in, i, c.Name)
	}
	accounts := newDuplicateChecker("Accounts[%d].Name")
	for i, a := range d.Accounts {
		accounts.add(in, i, a.Name)
		allowed := newDuplicateChecker(fmt.Sprintf("Accounts[%d].Classes[%%d]", i))
		for j, c := range a.Classes {
			allowed.add(in, j, c)
		}
	}
}

func checkCallDuplicates(in *validation.Report, service int, calls []Call) {
	names := newDuplicateChecker(fmt.Sprintf("Services[%d].Calls[%%d]", service))
	for i, c := range calls {
		names.add(in, i, c.Method+" "+c.Path)
	}
}

// checkReferences records a fault for each name that refers to nothing.
func checkReferences(in *validation.Report, d Document) {
	known := newIndex(d)
	for i, s := range d.Services {
		if _, ok := known.models[s.Model]; !ok && s.Model != "" {
			in.Add(fmt.Sprintf("Services[%d].Model", i), fmt.Sprintf("no such model: %q", s.Model))
		}
	}
	for i, c := range d.Classes {
		checkClassReferences(in, i, c, d, known)
	}
	for i, a := range d.Accounts {
		for j, name := range a.Classes {
			if _, ok := known.classes[name]; !ok && name != "" {
				in.Add(fmt.Sprintf("Accounts[%d].Classes[%d]", i, j), fmt.Sprintf("no such class: %q", name))
			}
		}
	}
}

func checkClassReferences(in *validation.Report, i int, c Class, d Document, known *index) {
	at, ok := known.services[c.Service]
	if !ok {
		in.Add(fmt.Sprintf("Classes[%d].Service", i), fmt.Sprintf("no such service: %q", c.Service))
		return
	}
	path := fmt.Sprintf("Classes[%d].MaxTokens", i)
	switch kind := d.Services[at].Kind; {
	case kind == KindGeneration && c.MaxTokens == 0:
		in.Add(path, "a value is required for a generation")
	case kind == KindPlain && c.MaxTokens != 0:
		in.Add(path, "has no meaning for a plain service and must be absent")
	}
}

// duplicateChecker finds duplicates in one list.
type duplicateChecker struct {
	// format turns a position into a path.
	format string
	first  map[string]int
}

func newDuplicateChecker(format string) duplicateChecker {
	return duplicateChecker{format: format, first: make(map[string]int)}
}

func (n duplicateChecker) add(in *validation.Report, position int, name string) {
	if name == "" {
		return
	}
	earlier, taken := n.first[name]
	if taken {
		in.Add(fmt.Sprintf(n.format, position), fmt.Sprintf("%q stands already at position %d", name, earlier))
		return
	}
	n.first[name] = position
}
