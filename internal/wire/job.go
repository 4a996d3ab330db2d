package wire

// Job is an accepted batch job as it is stored. Times are in milliseconds.
type Job struct {
	ID           string
	Organisation string
	Route        string // its name
	RouteHost    string // host name that the route is for
	Model        string
	MinVersion   uint64 // oldest version that may make its texts
	Target       int    // groups that the trainer waits for
	Submitted    int64  // Unix time at which a daemon first read it
	DueMS        int64  // after Submitted
	GiveUpMS     int64  // after Submitted; items may be given up then
	Single       bool   // one version makes a whole text
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
	Tokens  int // prompt and greatest output
	Hint    int // expected output, 0 when not told
	Group   string
	Reward  *JobReward
}

// JobReward is the call that scores an item's text.
type JobReward struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// JobResult is one listed result. Its position in the job's list never changes.
type JobResult struct {
	Item     int // index in Job.Items
	Down     bool
	Text     string
	Versions []uint64
	Score    string
}

// JobChunk is an immutable run of results. The chunks of a job in order of their numbers are its list.
type JobChunk struct{ Results []JobResult }

// JobOwner says who runs a batch job since its first owner was replaced, and whether it was ended.
type JobOwner struct {
	Host        string
	Incarnation string
	Epoch       uint64
	Ended       bool
	EndedMS     int64 `json:",omitempty"` // agreed time of day of the end, in ms since the Unix epoch
}

// JobPage answers a read of a job's results. Next is the position after the last one.
type JobPage struct {
	Organisation string
	Total        int
	Next         int
	Results      []JobResult
	Items        []string // ids of the results' items
}

// PrefixHosts is the prefix of the objects by which hosts register themselves.
const PrefixHosts = "Hosts/"

// The prefixes of the objects that hold batch jobs.
const (
	PrefixJobs   = "Lots/"
	PrefixChunks = "Chunks/"
	PrefixTexts  = "Texts/" // long texts that are not listed yet, by job
	PrefixOwners = "Owners/"
)
