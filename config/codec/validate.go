package codec

import (
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Bounds of the numbers of a document.
const (
	maxKeySpace    = 1 << 62
	maxConnections = 65535
	maxSlots       = 65535
	maxDialCost    = 10 * time.Second
	minDeadline    = time.Millisecond
	maxDeadline    = 10 * time.Minute
	maxCanaryAbove = 1 << 20
	maxShare       = 1000
	maxPriority    = 255
	maxAttempts    = 16
	maxWeight      = 1e6
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	tokenPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	// hostPattern is a host name or IP without a port; prefixPattern a path whose
	// characters need no escape.
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	prefixPattern = regexp.MustCompile(`^/([A-Za-z0-9._~-]+/)*$`)
)

// checker collects the faults of one document.
type checker struct {
	list      *fault.List
	upstreams map[string]bool
	services  map[string]bool
	leaves    map[string]leafOwner
	addresses map[string]string
}

// leafOwner is where a leaf ID was first seen.
type leafOwner struct {
	upstream int
	leaf     document.Leaf
}

// validate checks every rule of a document.
func validate(doc *document.Document, list *fault.List) {
	c := &checker{
		list:      list,
		upstreams: make(map[string]bool),
		services:  make(map[string]bool),
		leaves:    make(map[string]leafOwner),
		addresses: make(map[string]string),
	}
	c.name(doc.Site, "site")
	if len(doc.Upstreams) == 0 {
		list.Addf("upstream", "at least one is needed")
	}
	for i := range doc.Upstreams {
		c.upstream(i, &doc.Upstreams[i])
	}
	for i := range doc.Services {
		c.service(index("service", i), &doc.Services[i])
	}
	c.callers(doc.Callers)
	c.routes(doc)
}

// name checks the form of a name or ID.
func (c *checker) name(s, path string) {
	if !namePattern.MatchString(s) {
		c.list.Addf(path, "%q must be 1 to 63 lower-case letters, digits, dots and hyphens, and start with a letter or digit", s)
	}
}

// unique checks that a name is new and records it.
func (c *checker) unique(seen map[string]bool, s, path string) {
	c.name(s, path)
	if seen[s] {
		c.list.Addf(path, "%q is used twice", s)
	}
	seen[s] = true
}

// within checks the bounds of a number.
func within[T int | float64 | uint64](c *checker, path string, v, low, high T) {
	if v >= low && v <= high {
		return
	}
	c.list.Addf(path, "%v must be from %v to %v", v, low, high)
}

// duration checks the bounds of a duration. A negative one was reported when
// it was read.
func (c *checker) duration(path string, v, low, high time.Duration) {
	if v >= 0 && (v < low || v > high) {
		c.list.Addf(path, "%v must be from %v to %v", v, low, high)
	}
}

// upstream checks the i-th upstream with its shards.
func (c *checker) upstream(i int, u *document.Upstream) {
	path := index("upstream", i)
	c.unique(c.upstreams, u.Name, path+".name")
	within(c, path+".key_space", u.KeySpace, 1, maxKeySpace)
	within(c, path+".connection_limit", u.ConnectionLimit, 1, maxConnections)
	within(c, path+".slots", u.Slots, 1, maxSlots)
	c.duration(path+".dial_cost", u.DialCost, 0, maxDialCost)
	if len(u.Shards) == 0 {
		c.list.Addf(path+".shard", "at least one is needed")
		return
	}
	for j := range u.Shards {
		c.shard(i, index(path+".shard", j), &u.Shards[j])
	}
	c.tiling(path, u)
}

// shard checks a shard's leaves. A leaf may stand in several shards of its own
// upstream only.
func (c *checker) shard(upstream int, path string, s *document.Shard) {
	if len(s.Leaves) == 0 {
		c.list.Addf(path+".leaf", "at least one is needed")
	}
	ids := make(map[string]bool)
	for k, l := range s.Leaves {
		leafPath := index(path+".leaf", k)
		c.unique(ids, l.ID, leafPath+".id")
		c.name(l.Zone, leafPath+".zone")
		c.leaf(upstream, leafPath, l)
	}
}

// leaf checks one leaf; the same leaf may serve several shards of one upstream.
func (c *checker) leaf(upstream int, path string, l document.Leaf) {
	if addr, err := netip.ParseAddrPort(l.Address); err != nil || addr.Port() == 0 {
		c.list.Addf(path+".address", "%q is not IP:port", l.Address)
	}
	owner, ok := c.leaves[l.ID]
	switch {
	case !ok:
		c.leaves[l.ID] = leafOwner{upstream, l}
	case owner.upstream != upstream:
		c.list.Addf(path+".id", "%q is used by another upstream", l.ID)
	case owner.leaf != l:
		c.list.Addf(path, "leaf %q has another zone or address in an earlier shard", l.ID)
	}
	if id, ok := c.addresses[l.Address]; ok && id != l.ID {
		c.list.Addf(path+".address", "%q is the address of leaf %q too", l.Address, id)
	}
	c.addresses[l.Address] = l.ID
}

// tiling checks that the shards cover [0, key_space) once.
func (c *checker) tiling(path string, u *document.Upstream) {
	order := make([]int, len(u.Shards))
	for i := range order {
		if u.Shards[i].Range.Empty() {
			return // reported when it was read
		}
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if u.Shards[a].Range.From < u.Shards[b].Range.From {
			return -1
		}
		return 1
	})
	next := uint64(0)
	for _, i := range order {
		r := u.Shards[i].Range
		at := index(path+".shard", i) + ".range"
		if r.From < next {
			c.list.Addf(at, "%v overlaps another shard", r)
		}
		if r.From > next {
			c.list.Addf(at, "keys %d-%d before it are in no shard", next, r.From)
		}
		next = max(next, r.To)
	}
	last := index(path+".shard", order[len(order)-1]) + ".range"
	if next < u.KeySpace {
		c.list.Addf(last, "keys %d-%d after it are in no shard", next, u.KeySpace)
	}
	if next > u.KeySpace {
		c.list.Addf(last, "it ends above key_space %d", u.KeySpace)
	}
}

// service checks a service's references and bounds.
func (c *checker) service(path string, s *document.Service) {
	c.unique(c.services, s.Name, path+".name")
	c.references(path+".upstreams", s.Upstreams, c.upstreams)
	if len(s.Upstreams) == 0 {
		c.list.Addf(path+".upstreams", "at least one is needed")
	}
	c.duration(path+".deadline", s.Deadline, minDeadline, maxDeadline)
	within(c, path+".least_coverage", s.LeastCoverage, 0, 1)
	if s.Deadline > 0 {
		c.duration(path+".settle", s.Settle, 0, s.Deadline)
	}
	within(c, path+".hedge_budget", s.HedgeBudget, 0, 1)
	if !s.Idempotent && s.HedgeBudget > 0 {
		c.list.Addf(path+".hedge_budget", "must be 0 for a service that is not idempotent")
	}
	if !(s.HedgeQuantile > 0 && s.HedgeQuantile < 1) {
		c.list.Addf(path+".hedge_quantile", "%v must be between 0 and 1", s.HedgeQuantile)
	}
	within(c, path+".retry_budget", s.RetryBudget, 0, 1)
	within(c, path+".canary_above", s.CanaryAbove, 0, maxCanaryAbove)
	if s.Deadline > 0 {
		c.duration(path+".objective", s.Objective, 0, s.Deadline)
	}
	within(c, path+".priority", s.Priority, 0, maxPriority)
	within(c, path+".attempts", s.Attempts, 0, maxAttempts)
}

// routes checks all routes: names are unique, and no two have the same host and
// prefix, so that which one counts never depends on their order.
func (c *checker) routes(doc *document.Document) {
	names := make(map[string]bool)
	places := make(map[string]bool)
	for i := range doc.Routes {
		r := &doc.Routes[i]
		path := index("route", i)
		c.unique(names, r.Name, path+".name")
		if !hostPattern.MatchString(r.Host) {
			c.list.Addf(path+".host", "%q must be a lower-case host name without a port", r.Host)
		}
		if !prefixPattern.MatchString(r.Prefix) {
			c.list.Addf(path+".prefix", "%q must begin and end with a slash and need no escapes", r.Prefix)
		}
		if places[r.Host+r.Prefix] {
			c.list.Addf(path+".prefix", "another route has this host and prefix")
		}
		places[r.Host+r.Prefix] = true
		c.targets(path+".target", r.Targets, doc)
	}
}

// targets checks the services of a route: one at least gets requests, and several
// are all idempotent. A resend may reach another of them, where its key is new.
func (c *checker) targets(path string, targets []document.RouteTarget, doc *document.Document) {
	names := make([]string, len(targets))
	total := 0.0
	for i, t := range targets {
		names[i] = t.Service
		within(c, index(path, i)+".weight", t.Weight, 0, maxWeight)
		total += t.Weight
	}
	c.references(path, names, c.services)
	if len(targets) > 1 {
		c.idempotent(path, names, doc)
	}
	if !(total > 0) {
		c.list.Addf(path, "at least one service with a weight above 0 is needed")
	}
}

// references checks that each name exists and stands once.
func (c *checker) references(path string, names []string, known map[string]bool) {
	seen := make(map[string]bool)
	for i, n := range names {
		switch {
		case !known[n]:
			c.list.Addf(index(path, i), "%q does not exist", n)
		case seen[n]:
			c.list.Addf(index(path, i), "%q is named twice", n)
		}
		seen[n] = true
	}
}

// callers checks all callers: names and tokens are unique, and one at least is an
// operator.
func (c *checker) callers(callers []document.Caller) {
	names := make(map[string]bool)
	tokens := make(map[string]bool)
	operators := 0
	for i := range callers {
		caller := &callers[i]
		path := index("caller", i)
		c.unique(names, caller.Name, path+".name")
		if !tokenPattern.MatchString(caller.TokenSHA256) {
			c.list.Addf(path+".token_sha256", "it must be 64 lower-case hex digits")
		}
		if tokens[caller.TokenSHA256] {
			c.list.Addf(path+".token_sha256", "it is used twice")
		}
		tokens[caller.TokenSHA256] = true
		within(c, path+".share", caller.Share, 1, maxShare)
		c.references(path+".services", caller.Services, c.services)
		if caller.Operator {
			operators++
		}
	}
	if operators == 0 {
		c.list.Addf("caller", "at least one needs operator = true, or nobody could change the configuration")
	}
}

// idempotent checks that all services named are.
func (c *checker) idempotent(path string, names []string, doc *document.Document) {
	for i := range doc.Services {
		s := &doc.Services[i]
		if at := slices.Index(names, s.Name); at >= 0 && !s.Idempotent {
			c.list.Addf(index(path, at)+".service", "%q is not idempotent, and a route to several services takes only such", s.Name)
		}
	}
}
