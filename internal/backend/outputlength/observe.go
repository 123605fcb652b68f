package outputlength

// Observe records the length of a complete answer of the class and account.
// Truncated answers must not be observed.
func (m *Model) Observe(class, account string, tokens int) {
	if m.classes == nil {
		m.classes = newLRU[string, *history](classLimit)
		m.accounts = newLRU[pair, *history](m.limit())
	}
	byClass := m.classes.touch(class, func() *history { return newHistory(classHalfLife) })
	byClass.observe(tokens)
	key := pair{Class: class, Account: account}
	byAccount := m.accounts.touch(key, func() *history { return newHistory(accountHalfLife) })
	byAccount.observe(tokens)
}

func (m *Model) limit() int {
	if m.Limit > 0 {
		return m.Limit
	}
	return DefaultLimit
}
