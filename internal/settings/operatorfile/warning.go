package operatorfile

import (
	"fmt"
	"strings"
)

// Warning is a part of a valid operator file that has no effect, or that contradicts another one.
// The file can be applied.
type Warning struct {
	// Path is the path of the value, for example Classes[2].Urgent.
	Path string
	// Text describes the warning, without the path.
	Text string
}

// Warnings returns the parts of a valid document that no request can reach, and the limits that
// contradict each other, in the order of the document.
func Warnings(d Document) []Warning {
	w := &warnings{}
	w.services(d)
	w.models(d)
	w.classes(d)
	w.limits(d)
	return w.list
}

// warnings collects the warnings of one document.
type warnings struct {
	list []Warning
	// lookups counts the names that were looked up or added to a set. It bounds the work.
	lookups int
}

func (w *warnings) add(text, format string, args ...any) {
	w.list = append(w.list, Warning{Path: fmt.Sprintf(format, args...), Text: text})
}

// services warns of services that no class names, and of calls that no request matches.
func (w *warnings) services(d Document) {
	named := make(map[string]bool, len(d.Classes))
	for _, c := range d.Classes {
		w.insert(named, c.Service)
	}
	for i, s := range d.Services {
		if !w.holds(named, s.Name) {
			w.add("unreachable: no class is of this service", "Services[%d]", i)
		}
		for j, c := range s.Calls {
			if strings.Contains(c.Path, "?") {
				w.add("unreachable: paths are compared without their query", "Services[%d].Calls[%d].Path", i, j)
			}
		}
	}
}

// models warns of models that no service names.
func (w *warnings) models(d Document) {
	named := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		w.insert(named, s.Model)
	}
	for i, m := range d.Models {
		if !w.holds(named, m.Name) {
			w.add("unused: no service has this model", "Models[%d]", i)
		}
	}
}

// classes warns of classes that no client account may use, and of fields that have no effect on the
// requests of a class.
func (w *warnings) classes(d Document) {
	allowed := make(map[string]bool, len(d.Classes))
	all := false
	for _, a := range d.Accounts {
		all = all || len(a.Classes) == 0
		for _, name := range a.Classes {
			w.insert(allowed, name)
		}
	}
	plain := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Kind == KindPlain {
			w.insert(plain, s.Name)
		}
	}
	for i, c := range d.Classes {
		if !all && !w.holds(allowed, c.Name) {
			w.add("unreachable: no client account may use this class", "Classes[%d]", i)
		}
		if !w.holds(plain, c.Service) {
			continue
		}
		if c.Repeatable {
			w.add("no effect on a plain service, whose calls say what may be repeated", "Classes[%d].Repeatable", i)
		}
		if c.Whole {
			w.add("no effect on a plain service, whose answers are always whole", "Classes[%d].Whole", i)
		}
	}
}

// limits warns of limits that contradict each other.
func (w *warnings) limits(d Document) {
	if d.Policy.UrgentHeadroomPermille == 0 {
		for i, c := range d.Classes {
			if c.Urgent {
				w.add("no effect, as Policy.UrgentHeadroomPermille is 0", "Classes[%d].Urgent", i)
			}
		}
	}
	undefined := d.Policy.StallWeight == 0 || d.Policy.MemoryQuantile == 1
	if d.Policy.PreemptionWeight == 0 && undefined {
		w.add("contradicts StallWeight 0 or MemoryQuantile 1: neither stalls nor preemptions have a weight", "Policy.PreemptionWeight")
	}
}

// insert adds a name to a set.
func (w *warnings) insert(set map[string]bool, name string) {
	w.lookups++
	set[name] = true
}

func (w *warnings) holds(set map[string]bool, name string) bool {
	w.lookups++
	return set[name]
}
