// Package wire defines the messages that cross process boundaries: the platform's API, the endpoints' API and the
// messages between daemons. Every JSON field keeps its Go name.
package wire

// Paths of the platform's object API.
const (
	PathObject  = "/object"  // GET, PUT, DELETE ?Name=
	PathObjects = "/objects" // GET ?Prefix=
	PathWatch   = "/watch"   // GET ?Prefix=&After=&WaitMS=
)

// Object is one stored object. Version starts at 1 and increases with each write of the object; Revision is the
// revision of the whole store at that write.
type Object struct {
	Name     string
	Version  uint64
	Revision uint64
	Writer   string
	Deleted  bool
	Value    []byte
}

// ObjectPut requests a conditional write. Version is the version that the writer has read, 0 for an object that must
// not exist yet.
type ObjectPut struct {
	Name    string
	Version uint64
	Writer  string
	Value   []byte
}

// ObjectList answers a list or a watch with the matching objects and the store's revision at the time of the answer.
// A watch returns the objects that changed after the requested revision, with deleted ones marked.
type ObjectList struct {
	Revision   uint64
	Objects    []Object
	Unreadable int `json:",omitempty" msgpack:",omitempty"` // objects that Objects lacks because their metadata can't be read
}
