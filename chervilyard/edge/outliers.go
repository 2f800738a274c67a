package edge

import (
	"fmt"
	"time"

	"chervilyard.example/yard/outlier"
)

// recordOutlier logs and counts the ejection or return of a target.
func (e *Edge) recordOutlier(_ time.Time, c outlier.Change) {
	choice, span := "returned", "after"
	if c.Ejected {
		choice, span = "ejected", "for"
	}
	e.meter.CountEjection(c.Ejected)
	e.logDecision("target", choice, fmt.Sprintf("%s: failed=%d answered=%d here, failed=%d answered=%d reported, service=%.2f, %s %v",
		c.Target, c.Own.Failed, c.Own.Answered, c.Others.Failed, c.Others.Answered, c.Baseline, span, c.Duration.Round(time.Millisecond)))
}
