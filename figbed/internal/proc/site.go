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

const siteObject = "Config/Site"

// ApplyConfig changes the site's configuration and stores it under the next revision, which it returns.
func (c *Cluster) ApplyConfig(change func(s *config.Site)) uint64 {
	c.t.Helper()
	change(c.site)
	c.site.Revision++
	c.Put(siteObject, c.site)
	return c.site.Revision
}

// Key returns the key of an organisation that GiveKey gives at the start.
func (c *Cluster) Key(organisation string) string {
	return "key-of-" + organisation + "-0123456789abcdef"
}

// GiveKey makes a key one of an organisation's, directly in the store.
func (c *Cluster) GiveKey(organisation, key string) {
	c.t.Helper()
	c.setKey(key, keys.Entry{Organisation: organisation, State: keys.Active})
	c.keys[key] = organisation
}

// WithdrawKey withdraws a key, directly in the store.
func (c *Cluster) WithdrawKey(key string) {
	c.t.Helper()
	c.setKey(key, keys.Entry{Organisation: c.keys[key], State: keys.Withdrawn})
}

func (c *Cluster) setKey(key string, entry keys.Entry) {
	c.t.Helper()
	hash := keys.Hash(key)
	shard := keys.Shard{}
	if o, ok := c.Object(keys.ShardOf(hash)); ok {
		c.must(json.Unmarshal(o.Value, &shard))
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

// Object reads an object of the store, around the links.
func (c *Cluster) Object(name string) (wire.Object, bool) {
	c.t.Helper()
	var o wire.Object
	status := c.platform(http.MethodGet, wire.PathObject+"?Name="+url.QueryEscape(name), nil, &o)
	return o, status == http.StatusOK
}

// Objects lists objects of the store, around the links.
func (c *Cluster) Objects(prefix string) []wire.Object {
	c.t.Helper()
	var list wire.ObjectList
	c.platform(http.MethodGet, wire.PathObjects+"?Prefix="+url.QueryEscape(prefix), nil, &list)
	return list.Objects
}

// Put writes an object of the store as JSON over its present version, around the links.
func (c *Cluster) Put(name string, value any) {
	c.t.Helper()
	data, err := json.Marshal(value)
	c.must(err)
	stored := Within(5*time.Second, func() bool {
		o, _ := c.Object(name)
		put := wire.ObjectPut{Name: name, Version: o.Version, Writer: "test", Value: data}
		return c.platform(http.MethodPut, wire.PathObject, put, nil) == http.StatusOK
	})
	if !stored {
		c.t.Fatalf("object %s is not stored", name)
	}
}

// SetFaults replaces the platform's faults.
func (c *Cluster) SetFaults(f wire.Faults) {
	c.t.Helper()
	c.platform(http.MethodPost, wire.PathFaults, f, nil)
}

// Calls returns what the platform has counted and recorded.
func (c *Cluster) Calls() wire.Calls {
	c.t.Helper()
	var calls wire.Calls
	c.platform(http.MethodGet, wire.PathCalls, nil, &calls)
	return calls
}

func (c *Cluster) platform(method, path string, in, out any) int {
	c.t.Helper()
	return c.exchange(method, c.Store.URL()+path, in, out)
}

// exchange sends JSON and decodes the answer of a success.
func (c *Cluster) exchange(method, address string, in, out any) int {
	c.t.Helper()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		c.must(err)
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, address, body)
	c.must(err)
	resp, err := c.client.Do(req)
	if err != nil {
		c.t.Fatalf("%s %s: %v", method, address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil && resp.StatusCode == http.StatusOK {
		c.must(json.NewDecoder(resp.Body).Decode(out))
	}
	return resp.StatusCode
}

func (c *Cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}
