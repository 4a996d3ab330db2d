package wire

// Headers of the daemons' answers to callers.
const (
	HeaderKind = "X-Figshift-Kind" // error kind of a refusal
	HeaderRun  = "X-Figshift-Run"  // NotRun, Unknown or Ran
)

// Refusal is the body of every answer that a daemon generates itself rather than forwarding an endpoint's.
type Refusal struct {
	Kind         string
	Run          string
	Detail       string
	RetryAfterMS int64
	Request      string
}
