package operatorfile

// index maps the names of a document's items to their positions. A duplicate name
// maps to its first position.
type index struct {
	services map[string]int
	models   map[string]int
	classes  map[string]int
	accounts map[string]int
}

func newIndex(d Document) *index {
	return &index{
		services: positions(d.Services, func(s Service) string { return s.Name }),
		models:   positions(d.Models, func(m Model) string { return m.Name }),
		classes:  positions(d.Classes, func(c Class) string { return c.Name }),
		accounts: positions(d.Accounts, func(a Account) string { return a.Name }),
	}
}

// positions returns the first position of each name.
func positions[T any](items []T, name func(T) string) map[string]int {
	found := make(map[string]int, len(items))
	for i, item := range items {
		if _, taken := found[name(item)]; !taken {
			found[name(item)] = i
		}
	}
	return found
}

// WithIndex returns the document with an index, so that lookups by name are fast.
// It is for documents that are built in code; Parse returns indexed ones.
func (d Document) WithIndex() Document {
	d.index = newIndex(d)
	return d
}

// Service returns the service with the given name.
func (d Document) Service(name string) (Service, bool) {
	at, ok := d.positions().services[name]
	if !ok {
		return Service{}, false
	}
	return d.Services[at], true
}

// Model returns the model with the given name.
func (d Document) Model(name string) (Model, bool) {
	at, ok := d.positions().models[name]
	if !ok {
		return Model{}, false
	}
	return d.Models[at], true
}

// Class returns the class with the given name.
func (d Document) Class(name string) (Class, bool) {
	at, ok := d.positions().classes[name]
	if !ok {
		return Class{}, false
	}
	return d.Classes[at], true
}

// Account returns the client account with the given name.
func (d Document) Account(name string) (Account, bool) {
	at, ok := d.positions().accounts[name]
	if !ok {
		return Account{}, false
	}
	return d.Accounts[at], true
}

// positions returns the index of the document, or a new one when it has none.
func (d Document) positions() *index {
	if d.index != nil {
		return d.index
	}
	return newIndex(d)
}
