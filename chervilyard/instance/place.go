package instance

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"chervilyard.example/chervilyard/admit"
	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/placereport"
	"chervilyard.example/chervilyard/reqbody"
	"chervilyard.example/yard/refusal"
)

// Explain returns where the call of the query would go now, and why. It sends nothing and
// changes nothing that a call would. The error says why no route or customer was found. What
// the query says of the prompt is not used: the body has it.
func (i *Instance) Explain(q placereport.Query) (placereport.Report, error) {
	if len(q.Parts) > 0 {
		return placereport.Report{}, errors.New("this instance takes the parts of a prompt from the body of the request")
	}
	r, err := q.Request()
	if err != nil {
		return placereport.Report{}, err
	}
	now := i.now()
	reader := i.accept
	reader.Bodies = reqbody.Reader{Now: i.now} // the query has been read within its own limit
	c, err := reader.Run(now, placereport.NoResponse{}, r)
	if err != nil {
		return placereport.Report{}, err
	}
	if err := i.findCustomer(c, q.Customer); err != nil {
		return placereport.Report{}, err
	}
	err = i.resolve.Run(c)
	if c.Route.Name() == "" {
		return placereport.Report{}, err // never nil without a route
	}
	if q.PromptTokens != nil || q.OutputTokens != nil {
		c.MaxTokens = tokensOf(q)
	}
	report := placereport.Report{
		Instance: i.CallerAddr(), Region: i.regionName(), Route: c.Route.Name(), Service: c.Route.Name(), Customer: c.Customer.Name(),
		Version: i.keeper.Revision(), ConfigurationAge: -1, TargetsAge: -1, LatencyAge: -1,
		WaitLimit: placereport.Milliseconds(c.Deadline.Sub(now)), Candidates: []placereport.Candidate{}, Remotes: []placereport.Remote{},
	}
	if age := i.keeper.SinceConfirmed(now); age < memberRetention*24 { // false before the first confirmation
		report.ConfigurationAge, report.TargetsAge = placereport.Age(age), placereport.Age(age)
	}
	if err == nil {
		err = i.checkCutoff(c)
	}
	if err == nil {
		err = admit.CheckBurst(c)
	}
	var refused *refusal.Refusal
	if errors.As(err, &refused) && refused.Status != http.StatusUnauthorized {
		report.Refusal = placereport.NewRefusal(refused, "")
		return report, nil
	}
	if err != nil {
		return report, err
	}
	held := i.lender.State(now, c.Customer.Name()).Effective
	report.Quota = &placereport.Quota{Needed: c.MaxTokens, Level: held.Level, Capacity: held.Burst, PerSecond: held.Rate}
	if c.MaxTokens > held.Level {
		report.Notes = append(report.Notes, "this instance holds too few tokens of the customer; it would ask others, and refuse the call with 429 quota if they have none")
	}
	if c.NonIdempotent && c.IdempotencyKey != "" {
		report.Notes = append(report.Notes, "the call would be claimed by its Idempotency-Key first")
	}
	i.dispatch.Explain(c, &report, func(address string) time.Duration {
		if age, ok := i.memberList.SinceHeartbeat(now, address); ok {
			return age
		}
		return -1
	})
	return report, nil
}

// findCustomer sets the document and the customer of the call, by its name if that is not "".
func (i *Instance) findCustomer(c *call.Call, name string) error {
	if name == "" {
		return i.authenticate.Run(c)
	}
	d, err := i.keeper.FreshDocument()
	if err != nil {
		return err
	}
	c.Document = d
	var ok bool
	if c.Customer, ok = d.Customer(name); !ok {
		return refusal.NotRun(http.StatusNotFound, "customer_unknown", fmt.Sprintf("no customer is named %q", name))
	}
	return nil
}

// tokensOf returns the tokens that the query states.
func tokensOf(q placereport.Query) float64 {
	sum := 0
	for _, n := range []*int{q.PromptTokens, q.OutputTokens} {
		if n != nil {
			sum += *n
		}
	}
	return float64(sum)
}
