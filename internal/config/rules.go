package config

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strconv"
	"time"
)

// rule describes and checks the values that a setting may have.
type rule struct {
	allowed string
	valid   func(value any) bool
}

const (
	maxNameLength = 63
	maxPrice      = 1e6
	maxCount      = 1_000_000
	maxTokens     = 100_000_000
	maxInterval   = 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// rules is indexed by the section's kind and the key, as in "Route.Prefix".
var rules = map[string]rule{
	"Host.Host":           nameRule(),
	"Host.Zone":           nameRule(),
	"Host.Listen":         addressRule(),
	"Host.Operators":      addressRule(),
	"Host.Peer":           addressRule(),
	"Host.PeerAdvertise":  optional(addressRule()),
	"Host.Platform":       urlRule(),
	"Host.PeerSecretFile": pathRule(),
	"Host.CredentialFile": pathRule(),
	"Host.DataFolder":     optional(pathRule()),
	"Host.LogLevel":       oneOf("debug", "info", "warn", "error"),
	"Host.BalancerDelay":  durationRule(0, 10*time.Minute),
	"Host.QueuePolicy":    optional(oneOf(QueueFair, QueueFIFO)),
	"Host.PickPolicy":     optional(oneOf(PickAffinity, PickRoundRobin)),

	"Organisation.Weight": integerRule(1, 1000),

	"Route.Prefix":     {"a path that starts with /", isURLPath},
	"Route.Service":    optional(nameRule()),
	"Route.Model":      optional(nameRule()),
	"Route.Class":      oneOf(Interactive, Background, Rollout),
	"Route.Open":       boolRule(),
	"Route.Idempotent": boolRule(),
	"Route.Timeout":    durationRule(time.Millisecond, time.Hour),

	"Rollout.MaxGroups":    integerRule(1, maxCount),
	"Rollout.MaxStaleness": integerRule(0, 1000),

	"Zone.OnDemandFloor":   integerRule(0, 10_000),
	"Zone.MaxEndpoints":    integerRule(0, 10_000),
	"Zone.MaxCheap":        integerRule(0, 10_000),
	"Zone.TokensPerEngine": integerRule(1, maxTokens),
	"Zone.StartTime":       durationRule(0, time.Hour),
	"Zone.ScaleDownAfter":  durationRule(time.Second, maxInterval),
	"Zone.Model":           optional(nameRule()),

	"Limits.MaxBodyBytes":       integerRule(1<<10, 1<<30),
	"Limits.MaxHeaderBytes":     integerRule(1<<10, 1<<20),
	"Limits.HeaderTimeout":      durationRule(time.Second, time.Hour),
	"Limits.IdleTimeout":        durationRule(time.Second, time.Hour),
	"Limits.QueuePerDaemon":     integerRule(1, maxCount),
	"Limits.QueuePerOrg":        integerRule(1, maxCount),
	"Limits.ConcurrencyPerNode": integerRule(1, 10_000),
	"Limits.DefaultTimeout":     durationRule(time.Millisecond, time.Hour),

	"Lease.TTL":         durationRule(500*time.Millisecond, time.Minute),
	"Lease.Renew":       durationRule(50*time.Millisecond, 30*time.Second),
	"Lease.Margin":      durationRule(50*time.Millisecond, 30*time.Second),
	"Lease.OrderFlight": durationRule(50*time.Millisecond, 30*time.Second),

	"Trust.Bound":     durationRule(500*time.Millisecond, time.Minute),
	"Trust.Beat":      durationRule(20*time.Millisecond, 10*time.Second),
	"Trust.HostLost":  durationRule(100*time.Millisecond, time.Minute),
	"Trust.MeshUpTo":  integerRule(1, 256),
	"Trust.Neighbors": integerRule(2, 256),
	"Trust.Watchers":  integerRule(1, 16),

	"Usage.Window": durationRule(time.Second, maxInterval),
	"Usage.Grace":  durationRule(100*time.Millisecond, time.Hour),
	"Usage.Flush":  durationRule(50*time.Millisecond, time.Minute),

	"Weights.WaveShare":     fractionRule(),
	"Weights.RetryBackoff":  durationRule(10*time.Millisecond, time.Minute),
	"Weights.OrderDeadline": durationRule(100*time.Millisecond, 10*time.Minute),

	"Retry.BudgetShare": fractionRule(),
	"Retry.Backoff":     durationRule(time.Millisecond, time.Minute),
	"Retry.MaxAttempts": integerRule(1, 10),

	"Spend.Policy":        oneOf(FollowDemand, HoldPeak),
	"Spend.OnDemandPrice": numberRule(0, maxPrice),
	"Spend.CheapPrice":    numberRule(0, maxPrice),
	"Spend.IdlePrice":     numberRule(0, maxPrice),
}

func nameRule() rule {
	return rule{
		fmt.Sprintf("1 to %d letters, digits, '.', '_' or '-', a letter or digit first", maxNameLength),
		func(v any) bool { return namePattern.MatchString(fmt.Sprint(v)) },
	}
}

func addressRule() rule {
	return rule{"IP:port", func(v any) bool {
		host, port, err := net.SplitHostPort(fmt.Sprint(v))
		if err != nil || net.ParseIP(host) == nil {
			return false
		}
		_, err = strconv.ParseUint(port, 10, 16)
		return err == nil
	}}
}

func urlRule() rule {
	return rule{"http://HOST:PORT or https://HOST:PORT", func(v any) bool {
		u, err := url.Parse(fmt.Sprint(v))
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	}}
}

func pathRule() rule {
	return rule{"the path of a file or folder", func(v any) bool { return v != "" }}
}

func isURLPath(v any) bool {
	s := fmt.Sprint(v)
	return s != "" && s[0] == '/'
}

func boolRule() rule {
	return rule{"true or false", func(any) bool { return true }}
}

func optional(r rule) rule {
	return rule{r.allowed + ", or empty", func(v any) bool { return v == "" || r.valid(v) }}
}

func oneOf[T ~string](values ...T) rule {
	allowed := ""
	for i, v := range values {
		if i > 0 {
			allowed += ", "
		}
		allowed += string(v)
	}
	return rule{"one of " + allowed, func(v any) bool {
		for _, w := range values {
			if fmt.Sprint(v) == string(w) {
				return true
			}
		}
		return false
	}}
}

func durationRule(low, high time.Duration) rule {
	return rule{fmt.Sprintf("a duration from %s to %s", shortDuration(low), shortDuration(high)), func(v any) bool {
		d, ok := v.(time.Duration)
		return ok && d >= low && d <= high
	}}
}

func integerRule(low, high int64) rule {
	return rule{fmt.Sprintf("a whole number from %d to %d", low, high), func(v any) bool {
		switch n := v.(type) {
		case int:
			return int64(n) >= low && int64(n) <= high
		case int64:
			return n >= low && n <= high
		}
		return false
	}}
}

func numberRule(low, high float64) rule {
	return rule{fmt.Sprintf("a number from %g to %g", low, high), func(v any) bool {
		f, ok := v.(float64)
		return ok && f >= low && f <= high
	}}
}

func fractionRule() rule {
	return rule{"a number above 0, at most 1", func(v any) bool {
		f, ok := v.(float64)
		return ok && f > 0 && f <= 1
	}}
}

// shortDuration formats a duration without trailing zero units.
func shortDuration(d time.Duration) string {
	s := d.String()
	if len(s) > 2 && s[len(s)-2:] == "0s" && s[len(s)-3] == 'm' {
		s = s[:len(s)-2]
	}
	if len(s) > 2 && s[len(s)-2:] == "0m" && s[len(s)-3] == 'h' {
		s = s[:len(s)-2]
	}
	return s
}
