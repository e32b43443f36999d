package service

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/rollout"
)

// storedState is a service's state in the store, which has the versions separately.
// Later releases must be able to read its JSON.
type storedState struct {
	ID     string `json:"id"`
	Last   int64  `json:"last"`
	Base   int64  `json:"base"`
	Next   int64  `json:"next,omitempty"`
	Stage  int    `json:"stage,omitempty"`
	Halted string `json:"halted,omitempty"`
	Folder string `json:"folder,omitempty"` // checksum of the folder's content that was last offered
}

// diskStateStore persists a rollout's state in a store on disk.
type diskStateStore struct {
	store *configstore.Store
	id    string // identifies the service's epoch

	mu        sync.Mutex
	folderSum string
}

// swapFolderSum records the checksum of the folder's content, and reports whether it is
// the one last offered. The same content is offered only once, even if its rollout was
// halted or rolled back since. The checksum is persisted with the next state.
func (d *diskStateStore) swapFolderSum(sum string) (previous string, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous, d.folderSum = d.folderSum, sum
	return previous, previous == sum
}

// Save implements StateStore.
func (d *diskStateStore) Save(state rollout.State) error {
	d.mu.Lock()
	folderSum := d.folderSum
	d.mu.Unlock()
	text, err := json.Marshal(storedState{
		ID:     d.id,
		Last:   state.LastNumber,
		Base:   state.Base.Number,
		Next:   state.Next.Number,
		Stage:  state.Stage,
		Halted: state.HaltReason,
		Folder: folderSum,
	})
	if err != nil {
		return err
	}
	return d.store.SaveState(text, []configversion.Version{state.Base, state.Next}, time.Now())
}

// load reads the persisted state and the service's id. The id stays the same over all
// restarts with this store, so that routers recognize the service. An empty store gets
// a new id.
func (d *diskStateStore) load() (rollout.State, error) {
	text, err := d.store.State()
	if err != nil {
		return rollout.State{}, err
	}
	if text == nil {
		var id [4]byte
		rand.Read(id[:])
		d.id = hex.EncodeToString(id[:])
		return rollout.State{}, d.Save(rollout.State{})
	}
	var stored storedState
	if err := json.Unmarshal(text, &stored); err != nil {
		return rollout.State{}, fmt.Errorf("control: decode the stored state: %w", err)
	}
	d.id = stored.ID
	d.folderSum = stored.Folder
	state := rollout.State{LastNumber: stored.Last, Stage: stored.Stage, HaltReason: stored.Halted}
	if state.Base, err = d.version(stored.Base); err != nil {
		return state, err
	}
	state.Next, err = d.version(stored.Next)
	return state, err
}

// version reads a version of the stored state. Number 0 is the zero Version.
func (d *diskStateStore) version(number int64) (configversion.Version, error) {
	if number == 0 {
		return configversion.Version{}, nil
	}
	version, _, err := d.store.Version(number)
	if err != nil {
		return version, fmt.Errorf("control: version %d of the stored state: %w", number, err)
	}
	return version, nil
}
