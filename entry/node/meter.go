package node

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// ledgerMeter records metrics of the ledger's claims and writes.
type ledgerMeter struct{ scope tally.Scope }

// LedgerClaim implements ledger.Meter.
func (m ledgerMeter) LedgerClaim(result string, latency time.Duration) {
	s := m.scope.Tagged(map[string]string{"result": result})
	s.Counter("claims").Inc(1)
	s.Timer("claim_latency").Record(latency)
}

// LedgerWrite implements ledger.Meter.
func (m ledgerMeter) LedgerWrite(records, bytes int) {
	m.scope.Counter("writes").Inc(1)
	m.scope.Counter("written_records").Inc(int64(records))
	m.scope.Counter("written_bytes").Inc(int64(bytes))
}
