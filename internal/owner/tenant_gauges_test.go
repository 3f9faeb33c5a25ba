package owner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// A tenant's use stands beside its cap, and however many tenants there are, the labels are bounded.
func TestTheUseOfATenantStandsBesideItsCap(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	var uses []batch.TenantUse
	for i := range maxTenantGauges + 3 {
		uses = append(uses, batch.TenantUse{Tenant: fmt.Sprintf("t%03d", i), Used: batch.Resources{CPU: 2, MemoryMB: 10}, Cap: batch.Resources{CPU: 5}})
	}
	updateTenantGauges(scope, uses)
	gauges := scope.Snapshot().Gauges()
	is.Equal(len(gauges), 6*(maxTenantGauges+1))
	is.Equal(gauges["tenant_used+resource=memory,tenant=t007"].Value(), 10.0)
	is.Equal(gauges["tenant_cap+resource=cpu,tenant=t007"].Value(), 5.0)
	is.Equal(gauges["tenant_used+resource=cpu,tenant="+otherTenants].Value(), 6.0)
}
