package wire

// Job is an accepted batch job in its stored form.
type Job struct {
	ID           string
	Organisation string
	Route        string // name of the route
	RouteHost    string // host name to which the route applies
	Model        string
	MinVersion   uint64 // lowest weight version that may generate the job's texts
	Target       int    // number of groups that the trainer waits for
	Submitted    int64  // Unix time in ms at which a daemon first read the job
	DueMS        int64  // after Submitted
	GiveUpMS     int64  // after Submitted; items may be given up from then on
	Single       bool   // each text must come from a single weight version
	Host         string // first owner
	Incarnation  string
	Items        []JobItem
}

// JobItem is one request of a batch job.
type JobItem struct {
	ID      string
	Path    string
	Headers map[string]string
	Body    []byte
	Tokens  int // prompt tokens plus the maximum number of output tokens
	Hint    int // expected output tokens, 0 if not given
	Group   string
	Reward  *JobReward
}

// JobReward is the call that scores an item's generated text.
type JobReward struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// JobResult is one result in a job's list. Its position in the list never changes.
type JobResult struct {
	Item     int  // index in Job.Items
	Down     bool // the item was given up
	Text     string
	Versions []uint64
	Score    string
}

// JobChunk is an immutable sequence of results. A job's chunks in numerical order form its list of results.
type JobChunk struct{ Results []JobResult }

// JobOwner records which host runs a batch job after its first owner was replaced, and whether the job has ended.
type JobOwner struct {
	Host        string
	Incarnation string
	Epoch       uint64
	Ended       bool
	EndedMS     int64 `json:",omitempty"` // agreed time of day at which the job ended, in ms since the Unix epoch
	// Listed says that the job has ended only because all its results are listed. For callers it is open until they end it.
	Listed bool `json:",omitempty"`
}

// JobPage answers a read of a job's results. Next is the position after the last result of the page.
type JobPage struct {
	Organisation string
	Total        int
	Next         int
	Results      []JobResult
	Items        []string // ids of the items that Results belong to
	// AgeMS is how many ms ago, at most, the store had nothing at the position of an empty page. It is 0 in other pages, and
	// from hosts that don't tell.
	AgeMS int64 `msgpack:",omitempty"`
	// TookMS is the time in ms for which the host kept the call.
	TookMS int64 `msgpack:",omitempty"`
}

// Unfinished reports whether the page is empty although more results may be listed later.
func (p JobPage) Unfinished() bool { return len(p.Results) == 0 && p.Next < p.Total }

// PrefixHosts is the prefix of the objects with which hosts register themselves.
const PrefixHosts = "Hosts/"

// Prefixes of the objects that hold batch jobs.
const (
	PrefixJobs   = "Lots/"
	PrefixChunks = "Chunks/"
	PrefixTexts  = "Texts/" // long texts that are not listed yet, by job
	PrefixOwners = "Owners/"
)
