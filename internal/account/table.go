package account

// Keyed is an account with its keys.
type Keyed struct {
	Account Account
	Keys    []string
}

// Table holds the accounts of one version of the configuration. It is immutable, and its zero value has no accounts.
type Table struct {
	byKey map[KeyHash]*Account
	names map[string]*Account
}

// NewTable returns a table of the given accounts. It retains only hashes of the keys.
func NewTable(accounts []Keyed) Table {
	t := Table{byKey: map[KeyHash]*Account{}, names: map[string]*Account{}}
	for _, k := range accounts {
		a := k.Account
		t.names[a.Name] = &a
		for _, key := range k.Keys {
			t.byKey[HashKey(key)] = &a
		}
	}
	return t
}

// Len returns the number of accounts.
func (t Table) Len() int { return len(t.names) }

// FindByKey returns the account that holds a key.
func (t Table) FindByKey(key string) (Account, bool) {
	return t.FindByHash(HashKey(key))
}

// FindByHash returns the account that holds the key with a hash.
func (t Table) FindByHash(key KeyHash) (Account, bool) {
	a, ok := t.byKey[key]
	if !ok {
		return Account{}, false
	}
	return *a, true
}

// Find returns the account with a name.
func (t Table) Find(name string) (Account, bool) {
	a, ok := t.names[name]
	if !ok {
		return Account{}, false
	}
	return *a, true
}
