package admission

// ledgerLimit bounds the accounts in a ledger.
const ledgerLimit = 4096

// ledger counts the service of each account in tokens divided by its share, so
// that the account with the least comes next. An account that was idle starts
// at the level of the active ones and cannot save up service.
type ledger struct {
	// served is the service of each account. At most ledgerLimit entries.
	served map[string]float64
	// floor is the service of the account that was last chosen. It never falls.
	floor float64
}

// at returns the service of an account.
func (l *ledger) at(account string) float64 {
	return max(l.floor, l.served[account])
}

// charge adds tokens to an account.
func (l *ledger) charge(account string, tokens, share int) {
	if l.served == nil {
		l.served = make(map[string]float64)
	}
	l.served[account] = l.at(account) + float64(tokens)/float64(max(share, 1))
	if len(l.served) > ledgerLimit {
		l.prune()
	}
}

// advance lifts the floor to the service of the account that starts next.
func (l *ledger) advance(account string) {
	l.floor = l.at(account)
}

// prune drops the accounts at the floor, and all if none is.
func (l *ledger) prune() {
	for account, served := range l.served {
		if served <= l.floor {
			delete(l.served, account)
		}
	}
	if len(l.served) > ledgerLimit {
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
