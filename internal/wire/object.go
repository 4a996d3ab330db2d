// Package wire holds the messages that cross process boundaries: the platform's API,
// the endpoints' API and the frames between daemons. Every JSON field keeps its Go name.
package wire

// Paths of the platform's object API.
const (
	PathObject  = "/object"  // GET, PUT, DELETE ?Name=
	PathObjects = "/objects" // GET ?Prefix=
	PathWatch   = "/watch"   // GET ?Prefix=&After=&WaitMS=
)

// Object is one stored object. Version is 1 or more and rises by each write of that object;
// Revision is the store's revision at which it was written.
type Object struct {
	Name     string
	Version  uint64
	Revision uint64
	Writer   string
	Deleted  bool
	Value    []byte
}

// ObjectPut asks for a conditional write: Version is the version that the writer has read,
// 0 for an object that must not exist.
type ObjectPut struct {
	Name    string
	Version uint64
	Writer  string
	Value   []byte
}

// ObjectList answers a list and a watch: the objects (for a watch, those changed after the
// asked revision, deleted ones marked) and the store's revision at the time of the answer.
type ObjectList struct {
	Revision uint64
	Objects  []Object
}
