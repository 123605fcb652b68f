package outputlength

// Remaining returns the tokens that an answer of the class and account still
// needs after produced tokens, at the given quantile between 0 and 1. It is at
// least 1.
func (m *Model) Remaining(class, account string, produced int, quantile float64) int {
	return m.Curve(class, account).Remaining(produced, quantile)
}

// Curve returns the distribution of lengths of the class and account as learnt
// so far. Later observations do not change it.
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

// Len counts the pairs of class and account that are kept.
func (m *Model) Len() int {
	return m.accounts.size()
}
