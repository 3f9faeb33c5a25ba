package quota

import "github.com/geraniumwick/geraniumwick/internal/resources"

// Account holds what one tenant uses of all workers together. The zero value is an account without use.
type Account struct {
	// Used is the sum of its attempts that run or may run.
	Used resources.Amount
	// doubtful is the sum of its tasks that a former owner may have started, and of which nothing is known yet.
	doubtful resources.Amount
	// Rate is that of the tenant's jobs.
	Rate Rate
}

// Add adds an attempt that may run from now on.
func (a *Account) Add(need resources.Amount) { a.Used = a.Used.Plus(need) }

// Remove removes an attempt that certainly does not run any more.
func (a *Account) Remove(need resources.Amount) { a.Used = a.Used.Minus(need) }

// maxDoubt bounds the sum of what is in doubt: jobs that could never run may have asked for any amount.
const maxDoubt = 1 << 61

// AddDoubt adds tasks that a former owner may have started.
func (a *Account) AddDoubt(need resources.Amount) {
	a.doubtful = a.doubtful.Plus(need).Min(resources.Amount{CPU: maxDoubt, MemoryMB: maxDoubt, GPU: maxDoubt})
}

// RemoveDoubt removes tasks of which it is known now whether they run.
func (a *Account) RemoveDoubt(need resources.Amount) { a.doubtful = a.doubtful.Minus(need) }

// Bound returns the most that the tenant may use now: its attempts, and of its doubtful tasks no more than fits on the
// workers on which these may run.
func (a *Account) Bound(doubtfulCapacity resources.Amount) resources.Amount {
	return a.Used.Plus(a.doubtful.Min(doubtfulCapacity))
}

// Book holds the accounts of all tenants.
type Book struct {
	accounts map[string]*Account
}

// NewBook returns a book without accounts.
func NewBook() *Book { return &Book{accounts: map[string]*Account{}} }

// Account returns the account of a tenant, which it opens if there is none.
func (b *Book) Account(tenant string) *Account {
	a := b.accounts[tenant]
	if a == nil {
		a = &Account{}
		b.accounts[tenant] = a
	}
	return a
}
