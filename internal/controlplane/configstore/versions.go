package configstore

import (
	"fmt"
	"slices"
	"time"

	"go.etcd.io/bbolt"

	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/wallclock"
)

// Put stores a version, which survives any crash once Put has returned nil. The oldest
// versions above the store's limit are removed. If the version could not be written,
// the error is a FaultError.
func (s *Store) Put(version configversion.Version, now time.Time) error {
	if version.Number <= 0 || configversion.Checksum(version.Body) != version.Sum {
		return fmt.Errorf("configstore: version %d is not stored: it does not match its checksum", version.Number)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lockReleased && !s.reacquiring {
		s.deferred = append(s.deferred, deferredVersion{version, now})
		if len(s.deferred) > maxDeferred {
			s.deferred = s.deferred[1:] // the oldest, as in trim
		}
		return nil
	}
	if err := s.makeWritable(); err != nil {
		return err
	}
	return s.putLocked(version, now)
}

// putLocked stores a version in a writable file.
func (s *Store) putLocked(version configversion.Version, now time.Time) error {
	value, err := s.encodeVersion(version, now)
	if err != nil {
		return err
	}
	return s.commit(func(tx *bbolt.Tx) error {
		versions := tx.Bucket(versionsBucket)
		if err := versions.Put(versionKey(version.Number), value); err != nil {
			return err
		}
		return s.trim(versions, nil)
	})
}

// trim removes the oldest versions above the limit, except those in retained.
func (s *Store) trim(versions *bbolt.Bucket, retained []configversion.Version) error {
	neededKeys := map[string]bool{}
	for _, version := range retained {
		neededKeys[string(versionKey(version.Number))] = true
	}
	cursor := versions.Cursor()
	count := versions.Stats().KeyN
	var removed [][]byte
	for key, _ := cursor.First(); key != nil && count > s.maxVersions; key, _ = cursor.Next() {
		if neededKeys[string(key)] {
			continue
		}
		removed = append(removed, slices.Clone(key))
		count--
	}
	for _, key := range removed {
		if err := versions.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// SaveState stores a service's state and, in the same transaction, the versions that it
// references, unless they are stored already. Referenced versions are not removed. If
// the state could not be written, the error is a FaultError.
func (s *Store) SaveState(text []byte, referenced []configversion.Version, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.makeWritable(); err != nil {
		return err
	}
	return s.commit(func(tx *bbolt.Tx) error {
		versions := tx.Bucket(versionsBucket)
		for _, version := range referenced {
			if version.Number <= 0 || isStored(versions, version) {
				continue
			}
			value, err := s.encodeVersion(version, now)
			if err != nil {
				return err
			}
			if err := versions.Put(versionKey(version.Number), value); err != nil {
				return err
			}
		}
		if err := tx.Bucket(statesBucket).Put(stateKey, addChecksum(stateKey, text)); err != nil {
			return err
		}
		return s.trim(versions, referenced)
	})
}

// isStored reports whether a version is stored with the same content.
func isStored(versions *bbolt.Bucket, version configversion.Version) bool {
	key := versionKey(version.Number)
	value := versions.Get(key)
	if value == nil {
		return false
	}
	stored, _, err := decodeVersion(key, value)
	return err == nil && stored.Sum == version.Sum
}

// State returns the state last stored by SaveState, or nil if there is none.
func (s *Store) State() (text []byte, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		stored := tx.Bucket(statesBucket).Get(stateKey)
		if stored == nil {
			return nil
		}
		rest, err := verify(stateKey, stored)
		text = append([]byte(nil), rest...)
		return err
	})
	return text, err
}

// Version returns the stored version with the given number and the wall-clock time when
// it was stored, or ErrNoVersion.
func (s *Store) Version(number int64) (version configversion.Version, storedAt time.Time, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		key := versionKey(number)
		value := tx.Bucket(versionsBucket).Get(key)
		if value == nil {
			return ErrNoVersion
		}
		var stored header
		version, stored, err = decodeVersion(key, value)
		storedAt = stored.Stored
		return err
	})
	return version, storedAt, err
}

// Last returns the stored version with the highest number and the wall-clock time when
// it was stored, or ErrNoVersion.
func (s *Store) Last() (version configversion.Version, storedAt time.Time, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		key, value := tx.Bucket(versionsBucket).Cursor().Last()
		if key == nil {
			return ErrNoVersion
		}
		var stored header
		version, stored, err = decodeVersion(key, value)
		storedAt = stored.Stored
		return err
	})
	return version, storedAt, err
}

// History returns the stored versions in the order of their numbers, with their ages by
// the wall clock in milliseconds, never below 0.
func (s *Store) History(now time.Time) ([]configversion.StoredVersion, error) {
	history, headers, err := s.allVersions()
	for i := range history {
		age := wallclock.At(now).Sub(headers[i].Stored)
		history[i].Age = max(millis(age), 0)
	}
	return history, err
}

// allVersions returns the stored versions in the order of their numbers, without ages.
func (s *Store) allVersions() (list []configversion.StoredVersion, headers []header, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		return tx.Bucket(versionsBucket).ForEach(func(key, value []byte) error {
			version, stored, err := decodeVersion(key, value)
			list = append(list, configversion.StoredVersion{Version: version})
			headers = append(headers, stored)
			return err
		})
	})
	return list, headers, err
}

// Restored returns the event with which a router's machine starts. Its ages use the
// wall clock only where no other clock is available.
func (s *Store) Restored(now time.Time) configversion.Restored {
	list, headers, err := s.allVersions()
	if err == nil && len(list) == 0 {
		err = ErrNoVersion
	}
	if err != nil {
		return configversion.Restored{Err: err}
	}
	for i, age := range s.ages(headers, now) {
		list[i].Age = age
	}
	last := list[len(list)-1]
	return configversion.Restored{Version: last.Version, Age: last.Age, Earlier: list[:len(list)-1]}
}
