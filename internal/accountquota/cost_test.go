package accountquota_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/issuertable"
	"github.com/knapweedpoint/knapweedpoint/internal/permit"
	"github.com/knapweedpoint/knapweedpoint/internal/permitissuer"
)

// Guards against messages or memory that grow with accounts and daemons. It calculates the figures of docs/CAPACITY.md for 50
// requests a second; those of 10,000 accounts take some 10 s.
func TestCostOfQuotas(t *testing.T) {
	name := strings.Repeat("n", 20)
	self := &gossippb.Member{Name: name, Incarnation: 1 << 41, Beat: 1 << 20, AvailabilityZone: "zone-a", Address: "10.200.100.100:7946"}
	request := proto.Size(&gossippb.Datagram{Self: self, PermitRequest: &gossippb.PermitRequest{Id: 1 << 63, Account: name}})
	reply := proto.Size(&gossippb.Datagram{Self: self, PermitReply: &gossippb.PermitReply{Id: 1 << 63, RetryMillis: 100}})
	require.Less(t, request+reply, 300)
	for _, daemons := range []int{13, 144, 450} {
		for _, accounts := range []int{87, 1000} {
			var members []issuertable.Member
			for i := range daemons {
				members = append(members, issuertable.Member{Name: fmt.Sprint("vm", i)})
			}
			table := &blackboard.Cell[issuertable.Table]{}
			table.Set(issuertable.New("vm0", members, 1))
			i := &permitissuer.Issuer{Table: table}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for n := range accounts {
				a := account.Account{Name: fmt.Sprintf("%20d", n), Quota: typical}
				i.Issue(permit.ForAccount(a, rules), permit.Grant{}, time.Now())
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			memory := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			runtime.KeepAlive(i)
			t.Logf("%d daemons, %d accounts: %.0f bytes a second and daemon, %d KB of memory", daemons, accounts,
				50*float64(request+reply)/float64(daemons), memory/1000)
			require.Less(t, memory, int64(1000*accounts+200_000))
		}
	}
	t.Logf("request %d bytes, reply %d bytes", request, reply)
}
