package admission

// usageLimit bounds the accounts in a ledger.
const usageLimit = 4096

// usage counts the service of each account in tokens divided by its share, so
// that the account with the least comes next. An account that was idle starts
// at the level of the active ones and cannot save up service.
type usage struct {
	// served is the service of each account. At most ledgerLimit entries.
	served map[string]float64
	// floor is the service of the account that was last chosen. It never falls.
	floor float64
}

// of returns the service of an account.
func (l *usage) of(account string) float64 {
	return max(l.floor, l.served[account])
}

// charge adds tokens to an account.
func (l *usage) charge(account string, tokens, share int) {
	if l.served == nil {
		l.served = make(map[string]float64)
	}
	l.served[account] = l.of(account) + float64(tokens)/float64(max(share, 1))
	if len(l.served) > usageLimit {
		l.prune()
	}
}

// advance lifts the floor to the service of the account that starts next.
func (l *usage) advance(account string) {
	l.floor = l.of(account)
}

// prune drops the accounts at the floor, and all if none is.
func (l *usage) prune() {
	for account, served := range l.served {
		if served <= l.floor {
			delete(l.served, account)
		}
	}
	if len(l.served) > usageLimit {
		clear(l.served)
	}
}

// share returns the weight of an account.
func (c *Controller) share(account string) int {
	if share, ok := c.Shares[account]; ok {
		return share
	}
	return 1
}
