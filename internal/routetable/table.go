package routetable

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
)

// Table is one version of routes, services and limits. It is immutable, and its zero value has no routes.
type Table struct {
	// Version is greater for newer tables.
	Version   uint64
	Limits    Limits
	services  map[string]Service
	byHost    map[string][]Route
	coldRates map[string]float64
	// maxShards is the number of shards of the largest search that a service is part of.
	maxShards map[string]int
	accounts  account.Table
}

// New returns a table of the given routes and services.
func New(version uint64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version:   version,
		Limits:    limits,
		services:  make(map[string]Service, len(services)),
		byHost:    map[string][]Route{},
		coldRates: make(map[string]float64, len(services)),
		maxShards: map[string]int{},
	}
	for _, s := range services {
		t.services[s.Name] = s
		t.coldRates[s.Name] = s.ColdRate
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		if s, ok := r.Destination.(Scatter); ok {
			for _, name := range s.Shards {
				t.maxShards[name] = max(t.maxShards[name], len(s.Shards))
			}
		}
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// WithAccounts returns a copy of the table with the given accounts.
func (t *Table) WithAccounts(accounts account.Table) *Table {
	out := *t
	out.accounts = accounts
	return &out
}

// Accounts returns the client accounts.
func (t *Table) Accounts() account.Table {
	if t == nil {
		return account.Table{}
	}
	return t.accounts
}

// Find returns the route of the host with the longest prefix of the raw path.
func (t *Table) Find(host, path string) (Route, bool) {
	for _, r := range t.byHost[bareHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the named service, or the zero value if the table does not have it.
func (t *Table) Service(name string) Service {
	return t.services[name]
}

// MaxShards returns the number of shards of the largest search that the service is part of, or 0 if it is part of none.
func (t *Table) MaxShards(service string) int {
	if t == nil {
		return 0
	}
	return t.maxShards[service]
}

// ColdRates returns the rates in requests per second that cold targets can take, by service. The map must not be
// modified.
func (t *Table) ColdRates() map[string]float64 { return t.coldRates }

// bareHost returns the value of a Host header in lower case and without the port.
func bareHost(host string) string {
	if strings.Contains(host, ":") {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(host)
}
