// Package placetext formats for people where a request would go and why.
package placetext

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"chervilyard.example/chervilyard/placereport"
)

// Write writes the report.
func Write(w io.Writer, r placereport.Report) error {
	var b strings.Builder
	switch {
	case r.Refusal != nil:
		fmt.Fprintf(&b, "refused: %d %s, %s; %s\n", r.Refusal.Status, r.Refusal.Code, r.Refusal.Message, retryAfter(r.Refusal))
		if r.Refusal.Detail != "" {
			fmt.Fprintf(&b, "detail: %s\n", r.Refusal.Detail)
		}
	case r.Forward != "":
		fmt.Fprintf(&b, "forwarded to region %s, instance %s; first byte expected in %s, allowed %s\n", r.ForwardRegion, r.Forward, duration(r.Wait), duration(r.WaitLimit))
	default:
		fmt.Fprintf(&b, "sent to target %s; first byte expected in %s, allowed %s\n", r.Target, duration(r.Wait), duration(r.WaitLimit))
	}
	for _, note := range r.Notes {
		fmt.Fprintf(&b, "note: %s\n", note)
	}
	fmt.Fprintf(&b, "instance %s, region %s, route %s, service %s", r.Instance, r.Region, r.Route, r.Service)
	if r.Customer != "" {
		fmt.Fprintf(&b, ", customer %s", r.Customer)
	}
	b.WriteString("\n")
	if q := r.Quota; q != nil {
		fmt.Fprintf(&b, "quota: needs %.0f tokens; this instance holds %.0f of %.0f and gets %.0f a second\n", q.Needed, q.Level, q.Capacity, q.PerSecond)
	}
	fmt.Fprintf(&b, "ages: configuration (version %d) %s, list of targets %s, latency of the service %s\n\n", r.Version, age(r.ConfigurationAge), age(r.TargetsAge), age(r.LatencyAge))
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TARGET\tWAIT\tCOST\tCACHED\tOPEN\tWAITING\tLOAD AGE\tSAMPLE AGE\tKNOWN AGE\tSTATE")
	for _, c := range r.Candidates {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", c.Target, duration(c.Wait), duration(c.Cost), c.CachedTokens, c.Open, c.WaitingTokens,
			age(c.LoadAge), age(c.SampleAge), age(c.KnownAge), strings.Join(states(c), ", "))
	}
	if len(r.Remotes) > 0 {
		fmt.Fprintln(table, "\nREGION\tINSTANCE\tWAIT\tCOST\tHEARD AGE\tREPORT AGE\tSTATE")
	}
	for _, o := range r.Remotes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", o.Region, o.Instance, duration(o.Wait), duration(o.Cost), age(o.HeardAge), age(o.ReportAge), remoteState(o))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// states returns what sets a candidate apart.
func states(c placereport.Candidate) []string {
	list := []string{barred(c.Barred)}
	if !c.Timely {
		list = append(list, "too slow")
	}
	if c.Cold {
		list = append(list, "cold for "+duration(c.ColdLeft))
	}
	if c.ColdLimit >= 0 {
		list = append(list, fmt.Sprintf("at most %d requests from here while it may be cold", c.ColdLimit))
	}
	if c.Ejected {
		list = append(list, "ejected")
	}
	if c.Limited {
		list = append(list, fmt.Sprintf("limited to %g requests a second, said %s ago", c.LimitPerSecond, age(c.LimitAge)))
	}
	return list
}

func remoteState(o placereport.Remote) string {
	if o.FreeSlots == nil {
		return barred(o.Barred)
	}
	return fmt.Sprintf("%s, %d free slots", barred(o.Barred), *o.FreeSlots)
}

func barred(by string) string {
	if by == "" {
		return "usable"
	}
	return "barred: " + by
}

func retryAfter(r *placereport.Refusal) string {
	if r.RetryAfter <= 0 {
		return "no Retry-After"
	}
	return "Retry-After " + duration(r.RetryAfter)
}

// age formats an age, which is negative if nothing is known.
func age(a placereport.Age) string {
	if a < 0 {
		return "-"
	}
	return duration(placereport.Milliseconds(a))
}

func duration(m placereport.Milliseconds) string {
	return time.Duration(m).Round(time.Millisecond / 10).String()
}
