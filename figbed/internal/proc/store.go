package proc

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/wire"
)

const siteConfigObject = "Config/Site"

// ApplyConfig changes the site's configuration, stores it with the next revision and returns that revision.
func (c *Cluster) ApplyConfig(change func(s *config.Site)) uint64 {
	c.t.Helper()
	change(c.site)
	c.site.Revision++
	c.Put(siteConfigObject, c.site)
	return c.site.Revision
}

// Key returns the key that Start gives to an organisation.
func (c *Cluster) Key(organisation string) string {
	return "key-of-" + organisation + "-0123456789abcdef"
}

// AddKey stores an active key of an organisation, directly in the platform's store.
func (c *Cluster) AddKey(organisation, key string) {
	c.t.Helper()
	c.storeKeyEntry(key, keys.Entry{Organisation: organisation, State: keys.Active})
	c.keys[key] = organisation
}

// WithdrawKey marks a key as withdrawn, directly in the platform's store.
func (c *Cluster) WithdrawKey(key string) {
	c.t.Helper()
	c.storeKeyEntry(key, keys.Entry{Organisation: c.keys[key], State: keys.Withdrawn})
}

func (c *Cluster) storeKeyEntry(key string, entry keys.Entry) {
	c.t.Helper()
	hash := keys.Hash(key)
	shard := keys.Shard{}
	if o, ok := c.Object(keys.ShardOf(hash)); ok {
		c.failOnError(json.Unmarshal(o.Value, &shard))
	}
	if shard.Keys == nil {
		shard.Keys = map[string]keys.Entry{}
	}
	shard.Revision++
	entry.Revision = shard.Revision
	shard.Keys[hash] = entry
	c.Put(keys.ShardOf(hash), shard)
}

// CreateRollout stores a rollout's specification.
func (c *Cluster) CreateRollout(spec wire.RolloutSpec) {
	c.t.Helper()
	c.Put(wire.PrefixRollouts+spec.Name, spec)
}

// Object reads an object of the platform's store and reports whether it exists. It bypasses the links.
func (c *Cluster) Object(name string) (wire.Object, bool) {
	c.t.Helper()
	var o wire.Object
	status := c.callPlatform(http.MethodGet, wire.PathObject+"?Name="+url.QueryEscape(name), nil, &o)
	return o, status == http.StatusOK
}

// Objects lists the objects of the platform's store whose names start with prefix. It bypasses the links.
func (c *Cluster) Objects(prefix string) []wire.Object {
	c.t.Helper()
	var list wire.ObjectList
	c.callPlatform(http.MethodGet, wire.PathObjects+"?Prefix="+url.QueryEscape(prefix), nil, &list)
	return list.Objects
}

// Put stores a value as JSON and replaces the current version of the object. It bypasses the links.
func (c *Cluster) Put(name string, value any) {
	c.t.Helper()
	data, err := json.Marshal(value)
	c.failOnError(err)
	stored := Poll(5*time.Second, func() bool {
		o, _ := c.Object(name)
		put := wire.ObjectPut{Name: name, Version: o.Version, Writer: "test", Value: data}
		return c.callPlatform(http.MethodPut, wire.PathObject, put, nil) == http.StatusOK
	})
	if !stored {
		c.t.Fatalf("object %s could not be stored", name)
	}
}

// SetFaults replaces the platform's faults.
func (c *Cluster) SetFaults(f wire.Faults) {
	c.t.Helper()
	c.callPlatform(http.MethodPost, wire.PathFaults, f, nil)
}

// Calls returns the calls that the platform has counted and recorded.
func (c *Cluster) Calls() wire.Calls {
	c.t.Helper()
	var calls wire.Calls
	c.callPlatform(http.MethodGet, wire.PathCalls, nil, &calls)
	return calls
}

func (c *Cluster) callPlatform(method, path string, in, out any) int {
	c.t.Helper()
	return c.callJSON(method, c.PlatformProcess.URL()+path, in, out)
}

// callJSON sends in as JSON unless it is nil, decodes the response into out on status 200, and returns the status.
func (c *Cluster) callJSON(method, address string, in, out any) int {
	c.t.Helper()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		c.failOnError(err)
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, address, body)
	c.failOnError(err)
	resp, err := c.client.Do(req)
	if err != nil {
		c.t.Fatalf("%s %s: %v", method, address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil && resp.StatusCode == http.StatusOK {
		c.failOnError(json.NewDecoder(resp.Body).Decode(out))
	}
	return resp.StatusCode
}

func (c *Cluster) failOnError(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}
