package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/apply"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
)

const withdrawPause = 200 * time.Millisecond

func giveKey(o output) *command {
	var c change
	var organisation string
	return &command{
		output:   o,
		name:     "give",
		synopsis: "make a key for an organisation and print it once; only its hash is stored",
		example: "figctl key give --organisation library --platform http://10.0.0.9:9000" +
			" --operators 10.0.0.1:8081 --credential-file credential",
		flags: func(f *flag.FlagSet) {
			c.declare(f)
			f.StringVar(&organisation, "organisation", "", "`name` of the organisation")
		},
		run: func(ctx context.Context, _ []string) error {
			store, err := c.ready()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, c.wait)
			defer cancel()
			if err := knownOrganisation(ctx, store, organisation); err != nil {
				return err
			}
			key, given, err := keys.Give(ctx, store, organisation)
			if err != nil {
				return err
			}
			o.printf("key:  %s\nhash: %s\n", key, given.Hash)
			return c.acknowledged(ctx, o, apply.KeysRevision, given.Revision, "the key")
		},
	}
}

func knownOrganisation(ctx context.Context, store apply.Store, organisation string) error {
	site, _, err := apply.ReadSite(ctx, store)
	if err != nil {
		return err
	}
	if site == nil || site.Organisations[organisation].Name == "" {
		return kinds.New(kinds.BadRequest, "the stored configuration has no organisation %q", organisation)
	}
	return nil
}

func withdrawKey(o output) *command {
	var c change
	var hash, file string
	return &command{
		output:   o,
		name:     "withdraw",
		synopsis: "make a key unusable for good, and wait until a majority of the hosts refuses it",
		example: "figctl key withdraw --hash 5f70bf18a0...  --platform http://10.0.0.9:9000" +
			" --operators 10.0.0.1:8081 --credential-file credential",
		flags: func(f *flag.FlagSet) {
			c.declare(f)
			f.StringVar(&hash, "hash", "", "`hash` of the key, as key list tells")
			f.StringVar(&file, "key-file", "", "`file` with the key itself, in place of its hash")
		},
		run: func(ctx context.Context, _ []string) error {
			store, err := c.ready()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, c.wait)
			defer cancel()
			hash, err := hashOf(hash, file)
			if err != nil {
				return err
			}
			withdrawn, err := withdraw(ctx, store, hash)
			if err != nil {
				return err
			}
			o.printf("stored: %s is withdrawn\n", hash)
			return c.acknowledged(ctx, o, apply.KeysRevision, withdrawn.Revision, "the withdrawal")
		},
	}
}

// hashOf takes the key from a file, so that it stands neither in the shell's history nor in the process list.
func hashOf(hash, file string) (string, error) {
	if (hash == "") == (file == "") {
		return "", kinds.New(kinds.BadRequest, "give either --hash or --key-file")
	}
	if hash != "" {
		return hash, nil
	}
	f, err := os.Open(file)
	if err != nil {
		return "", kinds.New(kinds.BadRequest, "%v", err)
	}
	defer func() { _ = f.Close() }()
	line, err := bufio.NewReader(f).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return "", kinds.New(kinds.BadRequest, "%s holds no key: %v", file, err)
	}
	return keys.Hash(key), nil
}

// withdraw repeats a withdrawal while the store does not answer; it has the same effect each time.
func withdraw(ctx context.Context, store keys.Store, hash string) (keys.Change, error) {
	for {
		change, err := keys.Withdraw(ctx, store, hash)
		if kinds.From(err) != kinds.StoreUnavailable {
			return change, err
		}
		select {
		case <-time.After(withdrawPause):
		case <-ctx.Done():
			return change, kinds.New(kinds.OutcomeUnknown, "the store gave no answer; the key may be withdrawn: withdraw it again")
		}
	}
}

func listKeys(o output) *command {
	var c change
	return &command{
		output:   o,
		name:     "list",
		synopsis: "print the hash, organisation and state of every key",
		example:  "figctl key list --platform http://10.0.0.9:9000",
		flags:    c.declareStore,
		run: func(ctx context.Context, _ []string) error {
			store, err := c.store()
			if err != nil {
				return err
			}
			list, err := store.List(ctx, keys.Prefix)
			if err != nil {
				return err
			}
			entries := map[string]keys.Entry{}
			for _, object := range list.Objects {
				var shard keys.Shard
				if err := json.Unmarshal(object.Value, &shard); err != nil {
					return kinds.New(kinds.Internal, "%s: %v", object.Name, err)
				}
				for hash, entry := range shard.Keys {
					entries[hash] = entry
				}
			}
			o.printKeys(entries)
			return nil
		},
	}
}

func (o output) printKeys(entries map[string]keys.Entry) {
	rows := [][]string{{"HASH", "ORGANISATION", "STATE", "REVISION"}}
	for _, hash := range sorted(entries) {
		e := entries[hash]
		rows = append(rows, []string{hash, e.Organisation, string(e.State), number(e.Revision)})
	}
	o.table(rows)
}
