package console

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
)

// fieldFingerprint names the fingerprint whose quarantine is lifted.
const fieldFingerprint = "fingerprint"

// quarantinePage lists the fingerprints of requests that broke leaves.
type quarantinePage struct{ Lines []quarantineLine }

// quarantineLine is one fingerprint.
type quarantineLine struct {
	Fingerprint string
	Crashes     int
	Refused     bool // in quarantine; else under suspicion
	Left        time.Duration
}

// getQuarantine shows what is under suspicion or in quarantine.
func (c *Console) getQuarantine(ctx echo.Context) error {
	var p quarantinePage
	for _, q := range operators.Quarantined(c.config.Quarantine) {
		p.Lines = append(p.Lines, quarantineLine{
			Fingerprint: q.Fingerprint, Crashes: q.Level,
			Refused: quarantine.Phase(q.Level) == quarantine.PhaseQuarantined,
			Left:    (time.Duration(q.RemainingMS) * time.Millisecond).Round(time.Second),
		})
	}
	return c.render(ctx, http.StatusOK, "quarantine", "Quarantine", p)
}

// postQuarantine lets a fingerprint run again.
func (c *Console) postQuarantine(ctx echo.Context) error {
	fingerprint := ctx.FormValue(fieldFingerprint)
	listed := func(q peerapi.QuarantineRecord) bool { return q.Fingerprint == fingerprint }
	if !slices.ContainsFunc(operators.Quarantined(c.config.Quarantine), listed) {
		return &Error{Status: http.StatusNotFound, Title: "Not in quarantine", Detail: fmt.Sprintf("This instance lists no fingerprint %q. Its time may have passed, or it was lifted already.", fingerprint)}
	}
	c.config.Quarantine.LiftQuarantine(fingerprint)
	c.config.Log.Info("quarantine lifted", "fingerprint", fingerprint)
	return ctx.Redirect(http.StatusSeeOther, pathQuarantine)
}
