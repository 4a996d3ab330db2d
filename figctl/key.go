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

const withdrawRetryInterval = 200 * time.Millisecond

func giveKeyCommand(o output) *command {
	var change changeFlags
	var organisation string
	return &command{
		output:   o,
		name:     "give",
		synopsis: "create a key for an organisation and print it once; only its hash is stored",
		example: "figctl key give --organisation library --platform http://10.0.0.9:9000" +
			" --operators 10.0.0.1:8081 --credential-file credential",
		flags: func(f *flag.FlagSet) {
			change.declareFlags(f)
			f.StringVar(&organisation, "organisation", "", "`name` of the organisation")
		},
		run: func(ctx context.Context, _ []string) error {
			store, err := change.checkFlags()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, change.wait)
			defer cancel()
			if err := checkOrganisation(ctx, store, organisation); err != nil {
				return err
			}
			key, created, err := keys.Create(ctx, store, organisation)
			if err != nil {
				return err
			}
			o.printf("key:  %s\nhash: %s\n", key, created.Hash)
			return change.awaitMajority(ctx, o, apply.KeysRevision, created.Revision, "the key")
		},
	}
}

func checkOrganisation(ctx context.Context, store apply.Store, organisation string) error {
	site, _, err := apply.ReadSite(ctx, store)
	if err != nil {
		return err
	}
	if site == nil || site.Organisations[organisation].Name == "" {
		return kinds.New(kinds.BadRequest, "organisation %q does not exist in the stored configuration", organisation)
	}
	return nil
}

func withdrawKeyCommand(o output) *command {
	var change changeFlags
	var hash, keyFile string
	return &command{
		output:   o,
		name:     "withdraw",
		synopsis: "withdraw a key permanently, and wait until a majority of the hosts refuses it",
		example: "figctl key withdraw --hash 5f70bf18a0...  --platform http://10.0.0.9:9000" +
			" --operators 10.0.0.1:8081 --credential-file credential",
		flags: func(f *flag.FlagSet) {
			change.declareFlags(f)
			f.StringVar(&hash, "hash", "", "`hash` of the key, as printed by key list")
			f.StringVar(&keyFile, "key-file", "", "`file` with the key itself, instead of --hash")
		},
		run: func(ctx context.Context, _ []string) error {
			store, err := change.checkFlags()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, change.wait)
			defer cancel()
			hash, err := readHash(hash, keyFile)
			if err != nil {
				return err
			}
			withdrawn, err := withdrawWithRetries(ctx, store, hash)
			if err != nil {
				return err
			}
			o.printf("stored: %s is withdrawn\n", hash)
			return change.awaitMajority(ctx, o, apply.KeysRevision, withdrawn.Revision, "the withdrawal")
		},
	}
}

// readHash returns hash, or the hash of the key in keyFile. A key is only accepted in a file: on the command line it
// would appear in the shell history and in the process list.
func readHash(hash, keyFile string) (string, error) {
	if (hash == "") == (keyFile == "") {
		return "", kinds.New(kinds.BadRequest, "exactly one is required: either --hash or --key-file")
	}
	if hash != "" {
		return hash, nil
	}
	f, err := os.Open(keyFile)
	if err != nil {
		return "", kinds.New(kinds.BadRequest, "%v", err)
	}
	defer func() { _ = f.Close() }()
	line, err := bufio.NewReader(f).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return "", kinds.New(kinds.BadRequest, "%s contains no key: %v", keyFile, err)
	}
	return keys.Hash(key), nil
}

// withdrawWithRetries repeats a withdrawal while the store is unavailable. Withdrawing a key is idempotent.
func withdrawWithRetries(ctx context.Context, store keys.Store, hash string) (keys.Change, error) {
	for {
		change, err := keys.Revoke(ctx, store, hash)
		if kinds.KindOf(err) != kinds.StoreUnavailable {
			return change, err
		}
		select {
		case <-time.After(withdrawRetryInterval):
		case <-ctx.Done():
			return change, kinds.New(kinds.OutcomeUnknown, "the store did not answer; the key may or may not be withdrawn: withdraw it again")
		}
	}
}

func listKeysCommand(o output) *command {
	var change changeFlags
	return &command{
		output:   o,
		name:     "list",
		synopsis: "print the hash, organisation and state of every key",
		example:  "figctl key list --platform http://10.0.0.9:9000",
		flags:    change.declareStoreFlags,
		run: func(ctx context.Context, _ []string) error {
			store, err := change.storeClient()
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
	for _, hash := range sortedKeys(entries) {
		e := entries[hash]
		rows = append(rows, []string{hash, e.Organisation, string(e.State), formatNumber(e.Revision)})
	}
	o.printTable(rows)
}
