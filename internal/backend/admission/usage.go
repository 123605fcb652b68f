package admission

// usageLimit is the maximum number of accounts whose usage is tracked.
const usageLimit = 4096

// usage tracks for each account the tokens that it was served, divided by its
// share, so that the account with the least usage starts next. An account that
// was idle continues at the level of the active accounts, and so does not
// accumulate credit while it is idle.
type usage struct {
	// served is the usage of each account. It has at most usageLimit entries.
	served map[string]float64
	// floor is the usage of the account that started last. It never decreases.
	floor float64
}

// of returns the usage of an account.
func (u *usage) of(account string) float64 {
	return max(u.floor, u.served[account])
}

// charge adds tokens to the usage of an account with the given share.
func (u *usage) charge(account string, tokens, share int) {
	if u.served == nil {
		u.served = make(map[string]float64)
	}
	u.served[account] = u.of(account) + float64(tokens)/float64(max(share, 1))
	if len(u.served) > usageLimit {
		u.prune()
	}
}

// advance raises the floor to the usage of the account that starts next.
func (u *usage) advance(account string) {
	u.floor = u.of(account)
}

// prune drops the accounts at or below the floor. If the table is still over its
// limit, it drops all accounts.
func (u *usage) prune() {
	for account, served := range u.served {
		if served <= u.floor {
			delete(u.served, account)
		}
	}
	if len(u.served) > usageLimit {
		clear(u.served)
	}
}

// share returns the fair-share weight of an account.
func (c *Controller) share(account string) int {
	if share, ok := c.Shares[account]; ok {
		return share
	}
	return 1
}
