package console

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// serviceResource is a query service.
type serviceResource struct{}

func (serviceResource) kind() string { return kindService }

func (serviceResource) values(doc *document.Document, name string) (url.Values, bool) {
	if name == "" {
		return url.Values{
			"deadline": {"200ms"}, "least_coverage": {"0"}, "settle": {"0s"}, "hedge_budget": {"0"},
			"hedge_quantile": {decimal(codec.DefaultHedgeQuantile)}, "retry_budget": {decimal(codec.DefaultRetryBudget)},
			"canary_above": {fmt.Sprint(codec.DefaultCanaryAbove)}, "key_required": checked(true),
			"objective": {"0s"}, "priority": {"0"}, "attempts": {"0"},
		}, true
	}
	for i := range doc.Services {
		if s := &doc.Services[i]; s.Name == name {
			return serviceValues(s), true
		}
	}
	return nil, false
}

func serviceValues(s *document.Service) url.Values {
	return url.Values{
		"upstreams":      s.Upstreams,
		"deadline":       {s.Deadline.String()},
		"least_coverage": {decimal(s.LeastCoverage)},
		"settle":         {s.Settle.String()},
		"idempotent":     checked(s.Idempotent),
		"key_required":   checked(s.KeyRequired),
		"hedge_budget":   {decimal(s.HedgeBudget)},
		"hedge_quantile": {decimal(s.HedgeQuantile)},
		"retry_budget":   {decimal(s.RetryBudget)},
		"canary_above":   {fmt.Sprint(s.CanaryAbove)},
		"objective":      {s.Objective.String()},
		"priority":       {fmt.Sprint(s.Priority)},
		"attempts":       {fmt.Sprint(s.Attempts)},
	}
}

func (serviceResource) groups(doc *document.Document, values url.Values, name string) []group {
	return []group{
		{"Service", slices.Concat(nameField(values, name), []*field{
			choices(values, "upstreams", "Upstreams", "The service asks all shards of each.", upstreamNames(doc)),
		})},
		{"Answer", []*field{
			text(values, "deadline", "Deadline", "The longest time an answer may take, such as 200ms; from 1ms to 10m."),
			text(values, "least_coverage", "Least coverage", "The share of the keys, from 0 to 1, from which an answer is useful."),
			text(values, "settle", "Settle", "How long to wait for the rest once that is met; 0s waits until the deadline."),
			text(values, "objective", "Objective", "The time within which an answer has its full value: one that is useful goes out by then without the rest. 0s for none."),
			text(values, "priority", "Priority", "The rank under overload, from 0 to 255; 0 is the most urgent."),
		}},
		{"Repetition", []*field{
			box(values, "idempotent", "Idempotent", "Running a request twice does no harm."),
			box(values, "key_required", "Key required", "Refuse requests without an Idempotency-Key. Without one a resend can't be recognised."),
			text(values, "hedge_budget", "Hedge budget", "The share of sub-requests that may be hedged, from 0 to 1. It must be 0 if the service is not idempotent."),
			text(values, "hedge_quantile", "Hedge quantile", "The quantile of latency after which a hedge starts, between 0 and 1."),
			text(values, "retry_budget", "Retry budget", "The share of sub-requests that may be retried, from 0 to 1."),
			text(values, "attempts", "Attempts", "The most leaves of one shard that may run one request, from 1 to 16; 0 for no bound but the budgets."),
			text(values, "canary_above", "Canary above", "The number of shards above which an unknown request first runs on one leaf; 0 for never."),
		}},
	}
}

func (serviceResource) put(doc *document.Document, name string, in *input) edit {
	c := copyOf(doc)
	item := document.Service{
		Name:          itemName(name, in, serviceNames(c)),
		Upstreams:     in.list("upstreams"),
		Deadline:      in.duration("deadline"),
		LeastCoverage: in.number("least_coverage"),
		Settle:        in.duration("settle"),
		Idempotent:    in.flag("idempotent"),
		HedgeBudget:   in.number("hedge_budget"),
		HedgeQuantile: in.number("hedge_quantile"),
		RetryBudget:   in.number("retry_budget"),
		CanaryAbove:   in.whole("canary_above"),
		KeyRequired:   in.flag("key_required"),
		Objective:     in.duration("objective"),
		Priority:      in.whole("priority"),
		Attempts:      in.whole("attempts"),
	}
	var at int
	c.Services, at = place(c.Services, item, name == "", func(s document.Service) string { return s.Name })
	return edit{doc: c, prefix: itemPath(kindService, at)}
}

func (serviceResource) remove(doc *document.Document, name string) *document.Document {
	c := copyOf(doc)
	c.Services = slices.DeleteFunc(c.Services, func(s document.Service) bool { return s.Name == name })
	return c
}

// decimal writes a number without an exponent.
func decimal(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }
