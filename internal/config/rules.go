package config

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strconv"
	"time"
)

// rule says which values a setting may have.
type rule struct {
	allowed string
	ok      func(value any) bool
}

const (
	maxName     = 63
	maxPrice    = 1e6
	maxAmount   = 1_000_000
	maxTokens   = 100_000_000
	maxInterval = 24 * time.Hour
)

var name = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// rules is indexed by the section's kind and the key.
var rules = map[string]rule{
	"Host.Host":           named(),
	"Host.Zone":           named(),
	"Host.Listen":         address(),
	"Host.Operators":      address(),
	"Host.Peer":           address(),
	"Host.PeerAdvertise":  optional(address()),
	"Host.Platform":       httpURL(),
	"Host.PeerSecretFile": path(),
	"Host.CredentialFile": path(),
	"Host.DataFolder":     optional(path()),
	"Host.LogLevel":       oneOf("debug", "info", "warn", "error"),
	"Host.BalancerDelay":  between(0, 10*time.Minute),
	"Host.QueuePolicy":    optional(oneOf(QueueFair, QueueFifo)),
	"Host.PickPolicy":     optional(oneOf(PickAffine, PickTurns)),

	"Organisation.Weight": count(1, 1000),

	"Route.Prefix":     {"a path that starts with /", isPath},
	"Route.Service":    optional(named()),
	"Route.Model":      optional(named()),
	"Route.Class":      oneOf(Interactive, Background, Rollout),
	"Route.Open":       truth(),
	"Route.Idempotent": truth(),
	"Route.Timeout":    between(time.Millisecond, time.Hour),

	"Rollout.MaxGroups":    count(1, maxAmount),
	"Rollout.MaxStaleness": count(0, 1000),

	"Zone.OnDemandFloor":   count(0, 10_000),
	"Zone.MaxEndpoints":    count(0, 10_000),
	"Zone.MaxCheap":        count(0, 10_000),
	"Zone.TokensPerEngine": count(1, maxTokens),
	"Zone.StartTime":       between(0, time.Hour),
	"Zone.ScaleDownAfter":  between(time.Second, maxInterval),
	"Zone.Model":           optional(named()),

	"Limits.MaxBodyBytes":       count(1<<10, 1<<30),
	"Limits.MaxHeaderBytes":     count(1<<10, 1<<20),
	"Limits.QueuePerDaemon":     count(1, maxAmount),
	"Limits.QueuePerOrg":        count(1, maxAmount),
	"Limits.ConcurrencyPerNode": count(1, 10_000),
	"Limits.DefaultTimeout":     between(time.Millisecond, time.Hour),

	"Lease.TTL":         between(500*time.Millisecond, time.Minute),
	"Lease.Renew":       between(50*time.Millisecond, 30*time.Second),
	"Lease.Margin":      between(50*time.Millisecond, 30*time.Second),
	"Lease.OrderFlight": between(50*time.Millisecond, 30*time.Second),

	"Trust.Bound":     between(500*time.Millisecond, time.Minute),
	"Trust.Beat":      between(20*time.Millisecond, 10*time.Second),
	"Trust.HostLost":  between(100*time.Millisecond, time.Minute),
	"Trust.MeshUpTo":  count(1, 256),
	"Trust.Neighbors": count(2, 256),
	"Trust.Watchers":  count(1, 16),

	"Usage.Window": between(time.Second, maxInterval),
	"Usage.Grace":  between(100*time.Millisecond, time.Hour),
	"Usage.Flush":  between(50*time.Millisecond, time.Minute),

	"Weights.WaveShare":     share(),
	"Weights.RetryBackoff":  between(10*time.Millisecond, time.Minute),
	"Weights.OrderDeadline": between(100*time.Millisecond, 10*time.Minute),

	"Retry.BudgetShare": share(),
	"Retry.Backoff":     between(time.Millisecond, time.Minute),
	"Retry.MaxAttempts": count(1, 10),

	"Spend.Policy":        oneOf(FollowDemand, HoldPeak),
	"Spend.OnDemandPrice": number(0, maxPrice),
	"Spend.CheapPrice":    number(0, maxPrice),
	"Spend.IdlePrice":     number(0, maxPrice),
}

func named() rule {
	return rule{
		fmt.Sprintf("1 to %d letters, digits, '.', '_' or '-', a letter or digit first", maxName),
		func(v any) bool { return name.MatchString(fmt.Sprint(v)) },
	}
}

func address() rule {
	return rule{"IP:port", func(v any) bool {
		host, port, err := net.SplitHostPort(fmt.Sprint(v))
		if err != nil || net.ParseIP(host) == nil {
			return false
		}
		_, err = strconv.ParseUint(port, 10, 16)
		return err == nil
	}}
}

func httpURL() rule {
	return rule{"http://HOST:PORT or https://HOST:PORT", func(v any) bool {
		u, err := url.Parse(fmt.Sprint(v))
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	}}
}

func path() rule {
	return rule{"the path of a file or folder", func(v any) bool { return v != "" }}
}

func isPath(v any) bool {
	s := fmt.Sprint(v)
	return s != "" && s[0] == '/'
}

func truth() rule {
	return rule{"true or false", func(any) bool { return true }}
}

func optional(r rule) rule {
	return rule{r.allowed + ", or empty", func(v any) bool { return v == "" || r.ok(v) }}
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

func between(low, high time.Duration) rule {
	return rule{fmt.Sprintf("a duration from %s to %s", short(low), short(high)), func(v any) bool {
		d, ok := v.(time.Duration)
		return ok && d >= low && d <= high
	}}
}

func count(low, high int64) rule {
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

func number(low, high float64) rule {
	return rule{fmt.Sprintf("a number from %g to %g", low, high), func(v any) bool {
		f, ok := v.(float64)
		return ok && f >= low && f <= high
	}}
}

func share() rule {
	return rule{"a number above 0, at most 1", func(v any) bool {
		f, ok := v.(float64)
		return ok && f > 0 && f <= 1
	}}
}

// short prints a duration without its zero units.
func short(d time.Duration) string {
	s := d.String()
	if len(s) > 2 && s[len(s)-2:] == "0s" && s[len(s)-3] == 'm' {
		s = s[:len(s)-2]
	}
	if len(s) > 2 && s[len(s)-2:] == "0m" && s[len(s)-3] == 'h' {
		s = s[:len(s)-2]
	}
	return s
}
