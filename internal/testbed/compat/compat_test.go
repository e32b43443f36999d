package compat

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/cachenode/store"
	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/service"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/learnedstate"
)

// written is the content of want.json, which describes what the earlier version stored.
type written struct {
	Store   storeContents
	Configs struct{ Versions []storedVersion }
	Service serviceContents
	Journal journalContents
	Learned learnedContents
}

type storeContents struct {
	Copies []storedCopy
	Purged []string // keys of purged copies
	Purges uint64
	Held   int   // number of copies that fccb504 reported when it opened the folder again
	Bytes  int64 // size of these copies
}

type storedCopy struct {
	Key, Object string
	Group       int32
	Tags        []string
	Version     int64
	Fields      map[string]string
	Size        int64
	SHA256      string
}

type storedVersion struct {
	Number int64
	Sum    string
	Stored time.Time
	Bytes  int
}

type serviceContents struct {
	Service          string
	Last, Base, Next int64
	Stage            int
	Halted           string
	Versions         []storedVersion
}

type journalContents struct {
	Entries, Events, Actions, Requests, Outcomes, Sends, Refusals, Fails int
	First, Last                                                          float64
	FirstRequest, LastRequest                                            string
	Took                                                                 float64
	Seed                                                                 uint64
	Settings                                                             string
}

type learnedContents struct {
	At               float64
	Addresses        map[string]string
	Members, Classes []string
	SHA256           string
}

// fixture copies the files that fccb504 wrote into a temporary folder, since opening a store
// writes to it.
func fixture(t *testing.T) (folder string, want written) {
	t.Helper()
	folder = t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join("testdata", "fccb504"))); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(folder, "want.json"))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	return folder, want
}

func sha256Of(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// TestCacheStore checks that each copy in a cache's folder is found with its body and its header
// fields, and that copies purged by object, group, tag, prefix or version are not, after a first
// and a second start.
func TestCacheStore(t *testing.T) {
	folder, want := fixture(t)
	for _, start := range []string{"first start", "second start"} {
		t.Run(start, func(t *testing.T) {
			cache, found, err := store.Open(store.Dir(filepath.Join(folder, "store")), store.Options{MaxBytes: 1 << 20, SegmentBytes: 16384})
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := cache.Close(); err != nil {
					t.Error(err)
				}
			}()
			if found.CorruptEntries != 0 || len(found.Quarantined) != 0 || found.DiscardReason != "" {
				t.Errorf("opening the store reported corruption: %+v", found)
			}
			if copies, size := cache.Usage(); copies != want.Store.Held || size != want.Store.Bytes {
				t.Errorf("%d copies of %d bytes, want %d of %d", copies, size, want.Store.Held, want.Store.Bytes)
			}
			if number := cache.LastPurge(); number != want.Store.Purges {
				t.Errorf("last purge number is %d, want %d", number, want.Store.Purges)
			}
			for _, key := range want.Store.Purged {
				if found := cache.Lookup(key); found != nil {
					found.Close()
					t.Errorf("%s was purged but is found", key)
				}
			}
			for _, copied := range want.Store.Copies {
				checkCopy(t, cache, copied)
			}
		})
	}
}

func checkCopy(t *testing.T, cache *store.Store, want storedCopy) {
	t.Helper()
	found := cache.Lookup(want.Key)
	if found == nil {
		t.Errorf("%s was not found", want.Key)
		return
	}
	defer found.Close()
	body := make([]byte, found.Size)
	if n, err := found.ReadAt(body, 0); n != len(body) || err != nil && !errors.Is(err, io.EOF) {
		t.Errorf("%s: read %d of %d bytes: %v", want.Key, n, len(body), err)
	}
	got := storedCopy{found.Key, found.Object, found.Group, found.Tags, found.Version, found.Fields, found.Size, sha256Of(body)}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// checkVersions compares the versions in a configuration store with want, their bodies by checksum.
func checkVersions(t *testing.T, path string, want []storedVersion) {
	t.Helper()
	versions, err := configstore.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer versions.Close()
	history, err := versions.History(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if len(history) != len(want) {
		t.Fatalf("%d versions, want %d", len(history), len(want))
	}
	for _, wanted := range want {
		version, stored, err := versions.Version(wanted.Number)
		if err != nil {
			t.Error(err)
			continue
		}
		if version.Number != wanted.Number || version.Sum != wanted.Sum || sha256Of(version.Body) != wanted.Sum ||
			len(version.Body) != wanted.Bytes || !stored.Equal(wanted.Stored) {
			t.Errorf("got version %d with sum %s, %d bytes, stored %s; want %+v", version.Number, version.Sum, len(version.Body), stored, wanted)
		}
	}
	last, _, err := versions.Last()
	if newest := want[len(want)-1]; err != nil || last.Number != newest.Number {
		t.Errorf("last version is %d (error %v), want %d", last.Number, err, newest.Number)
	}
}

// TestConfigStore checks that a router's configuration store has every version with its checksum,
// body and time.
func TestConfigStore(t *testing.T) {
	folder, want := fixture(t)
	checkVersions(t, filepath.Join(folder, "lastgood.db"), want.Configs.Versions)
}

// TestControlService checks that a control service starts from its store with the same identity,
// versions and rollout state, and assigns the next version number.
func TestControlService(t *testing.T) {
	folder, want := fixture(t)
	path := filepath.Join(folder, "control.db")
	checkVersions(t, path, want.Service.Versions)
	var settings service.Settings
	if err := config.Read("svc", fmt.Sprintf(`(service (listen "127.0.0.1:0") (admin "127.0.0.1:0") (store %q) (keep 5))
		(rollout (hold 50))`, path), &settings); err != nil {
		t.Fatal(err)
	}
	control, err := service.Start(&settings, zap.NewNop(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer control.Close()
	view := control.View()
	got := serviceContents{view.Service, view.Last, view.Base, view.Next, view.Stage, view.Halted, want.Service.Versions}
	if !reflect.DeepEqual(got, want.Service) {
		t.Errorf("got %+v, want %+v", got, want.Service)
	}
	if number, err := control.PushUnchecked([]byte(want.Journal.Settings), true); err != nil || number != want.Service.Last+1 {
		t.Errorf("next version is %d (error %v), want %d", number, err, want.Service.Last+1)
	}
}

// TestJournal checks that all events and actions of a decision journal are read, that the first and
// the last are those that were written, and that its settings are still valid.
func TestJournal(t *testing.T) {
	folder, want := fixture(t)
	reader, err := journal.OpenReader(filepath.Join(folder, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	var got journalContents
	for {
		entry, err := reader.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got.Entries++
		switch entry.Kind {
		case journal.KindRouterStart:
			got.Seed, got.Settings = entry.RouterStart.Seed, entry.RouterStart.Settings
		case journal.KindHandled:
			got.add(entry)
		default:
			t.Errorf("unexpected entry of kind %v: %s", entry.Kind, entry.Why)
		}
	}
	if reader.Truncation() != "" {
		t.Errorf("journal is truncated: %s", reader.Truncation())
	}
	if got != want.Journal {
		t.Errorf("got  %+v\nwant %+v", got, want.Journal)
	}
	if err := config.Read("journal", got.Settings, &config.Settings{}); err != nil {
		t.Error(err)
	}
}

// add counts the event and the actions of an entry.
func (j *journalContents) add(entry *journal.Entry) {
	if j.Events++; j.Events == 1 {
		j.First = entry.T
	}
	j.Last = entry.T
	switch event := entry.Event.(type) {
	case spool.Request:
		j.LastRequest = event.ID + " " + event.Object
		if j.Requests++; j.Requests == 1 {
			j.FirstRequest = j.LastRequest
		}
	case spool.Outcome:
		j.Outcomes++
		j.Took += event.Took
	}
	j.Actions += len(entry.Actions)
	for _, action := range entry.Actions {
		switch action.(type) {
		case spool.Send:
			j.Sends++
		case spool.Refuse:
			j.Refusals++
		case spool.Fail:
			j.Fails++
		}
	}
}

// TestLearnedState checks that decoding and encoding a snapshot of learned state loses nothing, and
// that an engine restored from it knows the members and their addresses.
func TestLearnedState(t *testing.T) {
	folder, want := fixture(t)
	snapshot, err := os.ReadFile(filepath.Join(folder, "learned-state.bin"))
	if err != nil {
		t.Fatal(err)
	}
	if sha256Of(snapshot) != want.Learned.SHA256 {
		t.Fatal("checksum of the fixture differs from want.json")
	}
	learned, err := learnedstate.Decode(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if learned.Module.At != want.Learned.At {
		t.Errorf("snapshot was taken at %v ms, want %v ms", learned.Module.At, want.Learned.At)
	}
	var classes []string
	for _, class := range learned.Module.Classes {
		classes = append(classes, class.Name)
	}
	if !slices.Equal(classes, want.Learned.Classes) {
		t.Errorf("classes %q, want %q", classes, want.Learned.Classes)
	}
	encoded, err := learnedstate.Encode(learned)
	if err != nil {
		t.Fatal(err)
	}
	if before, after := fieldsOf(t, snapshot), fieldsOf(t, encoded); !reflect.DeepEqual(before, after) {
		t.Errorf("encoded again, the snapshot is\n%v\nwant\n%v", after, before)
	}
	settings := &config.Settings{}
	if err := config.Read("journal", want.Journal.Settings, settings); err != nil {
		t.Fatal(err)
	}
	core, err := engine.New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	core.Restore(want.Learned.At+1, learned, nil)
	for id, address := range want.Learned.Addresses {
		if got := core.Address(id); got != address {
			t.Errorf("address of %s is %q, want %q", id, got, address)
		}
	}
	statuses, _ := core.Statuses()
	if members := slices.Sorted(maps.Keys(statuses)); !slices.Equal(members, want.Learned.Members) {
		t.Errorf("members with restored state are %q, want %q", members, want.Learned.Members)
	}
}

// fieldsOf decodes a snapshot into a map by the names of its stored fields.
func fieldsOf(t *testing.T, snapshot []byte) (fields map[string]any) {
	t.Helper()
	const headerLength = len("SPOOLM") + 2 + 4 + 4 // version, length and checksum
	if !bytes.HasPrefix(snapshot, []byte("SPOOLM")) || len(snapshot) < headerLength {
		t.Fatalf("invalid snapshot header: %.20q", snapshot)
	}
	if err := cbor.Unmarshal(snapshot[headerLength:], &fields); err != nil {
		t.Fatal(err)
	}
	if len(fields) == 0 {
		t.Fatal("snapshot has no fields")
	}
	return fields
}
