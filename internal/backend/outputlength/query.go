package outputlength

// Remaining returns the given quantile, between 0 and 1, of the number of further
// tokens of an answer of the class and account that has produced tokens already.
// It is at least 1.
func (m *Model) Remaining(class, account string, produced int, quantile float64) int {
	return m.Curve(class, account).Remaining(produced, quantile)
}

// Curve returns the current distribution of answer lengths of the class and
// account. Later observations do not change the returned value.
func (m *Model) Curve(class, account string) *Curve {
	byClass, ok := m.classes.get(class)
	if !ok {
		return prior
	}
	base := byClass.blended(prior, priorWeight, 0)
	byAccount, ok := m.accounts.get(pair{Class: class, Account: account})
	if !ok {
		return base
	}
	return byAccount.blended(base, classWeight, byClass.version)
}

// Len returns the number of pairs of class and account in the model.
func (m *Model) Len() int {
	return m.accounts.size()
}
