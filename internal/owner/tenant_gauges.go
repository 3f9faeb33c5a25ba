package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// maxTenantGauges bounds the tenants that have gauges of their own, the first ones by name; the others are one label together.
const maxTenantGauges = 200

// otherTenants is the label of the tenants beyond maxTenantGauges.
const otherTenants = "(others)"

// updateTenantGauges sets for each tenant what it uses of each resource on all workers, and its cap; 0 is no cap.
func updateTenantGauges(scope tally.Scope, uses []batch.TenantUse) {
	others := batch.TenantUse{Tenant: otherTenants}
	for i, u := range uses {
		if i < maxTenantGauges {
			updateTenantGauge(scope, u)
			continue
		}
		others.Used, others.Cap = others.Used.Plus(u.Used), others.Cap.Plus(u.Cap)
	}
	if len(uses) > maxTenantGauges {
		updateTenantGauge(scope, others)
	}
}

func updateTenantGauge(scope tally.Scope, u batch.TenantUse) {
	for _, r := range []struct {
		resource    string
		used, limit int64
	}{
		{"cpu", u.Used.CPU, u.Cap.CPU},
		{"memory", u.Used.MemoryMB, u.Cap.MemoryMB},
		{"gpu", u.Used.GPU, u.Cap.GPU},
	} {
		tagged := scope.Tagged(map[string]string{"tenant": u.Tenant, "resource": r.resource})
		tagged.Gauge("tenant_used").Update(float64(r.used))
		tagged.Gauge("tenant_cap").Update(float64(r.limit))
	}
}
