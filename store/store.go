// Package store keeps the durable state of a coordinator: hashicorp/raft's log, term, vote and snapshots, in one bbolt file
// or in memory. Each record has a version and a checksum: records of older versions are read, newer and damaged ones are
// rejected with an error type of their own. A failed write ends its coordinator; the others continue.
package store

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
)

// Store is everything that raft persists. Package storetest verifies implementations.
type Store interface {
	raft.LogStore
	raft.StableStore
	raft.SnapshotStore
	Close() error
}

// Version is the version of the records. Older versions are read, newer ones rejected.
const Version = 1

const (
	lockTimeout   = time.Second // to wait for the file's lock, which a process that is ending may still hold
	snapshotsKept = 2           // the latest one and the one before it
	headerSize    = 9           // bytes of the header of a record: version, checksum (xxhash64, big endian)
	fileMode      = 0o600       // the file is private: it contains who may do what
)

var (
	logBucket          = []byte("log")
	stableBucket       = []byte("stable")
	snapshotMetaBucket = []byte("snapshot")
	snapshotDataBucket = []byte("snapshot-data")
)

// Options configures a Bolt store. Any function may be nil.
type Options struct {
	NoSync       bool                // don't sync writes to the disk: a machine that crashes loses acknowledged writes
	BeforeWrite  func() error        // called before each write; an error fails the write. Used to inject disk faults
	OnWrite      func(time.Duration) // called after each write with its duration
	OnWriteError func(error)         // called when a write fails, before raft gets the error; it need not return
}

// Bolt is a store in one bbolt file.
type Bolt struct {
	path    string
	db      *bbolt.DB
	options Options
}

// Open opens a file, which it creates if there is none.
func Open(path string, o Options) (*Bolt, error) {
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, NoSync: o.NoSync, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, &OpenError{path, err}
	}
	b := &Bolt{path, db, o}
	err = b.write(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{logBucket, stableBucket, snapshotMetaBucket, snapshotDataBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, err
	}
	return b, nil
}

// Close closes the file and releases its lock.
func (b *Bolt) Close() error { return b.db.Close() }

// write runs a transaction and calls the functions of the options.
func (b *Bolt) write(do func(tx *bbolt.Tx) error) error {
	began := time.Now()
	var err error
	if b.options.BeforeWrite != nil {
		err = b.options.BeforeWrite()
	}
	if err == nil {
		err = b.db.Update(do)
	}
	if b.options.OnWrite != nil {
		b.options.OnWrite(time.Since(began))
	}
	if err != nil {
		err = &WriteError{b.path, err}
		if b.options.OnWriteError != nil {
			b.options.OnWriteError(err)
		}
	}
	return err
}

// encodeRecord returns a record with its header.
func encodeRecord(raw []byte) []byte {
	out := make([]byte, headerSize, headerSize+len(raw))
	out[0] = Version
	binary.BigEndian.PutUint64(out[1:], xxhash.Sum64(raw))
	return append(out, raw...)
}

// decodeRecord verifies the header of a record and returns a copy of the rest; what names the record in errors.
func (b *Bolt) decodeRecord(what string, raw []byte) ([]byte, error) {
	switch {
	case len(raw) < headerSize:
		return nil, &DamagedError{b.path, what}
	case raw[0] > Version || raw[0] == 0:
		return nil, &VersionError{b.path, int(raw[0])}
	case binary.BigEndian.Uint64(raw[1:]) != xxhash.Sum64(raw[headerSize:]):
		return nil, &DamagedError{b.path, what}
	}
	return bytes.Clone(raw[headerSize:]), nil
}

// encodeUint64 encodes an integer so that keys sort by their number.
func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// ---- The log ----

// boundIndex returns the index of the first or last entry; 0 if the log is empty.
func (b *Bolt) boundIndex(first bool) (n uint64, err error) {
	err = b.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(logBucket).Cursor()
		k, _ := c.Last()
		if first {
			k, _ = c.First()
		}
		if k != nil {
			n = binary.BigEndian.Uint64(k)
		}
		return nil
	})
	return n, err
}

// FirstIndex returns the index of the first entry; 0 if the log is empty.
func (b *Bolt) FirstIndex() (uint64, error) { return b.boundIndex(true) }

// LastIndex returns the index of the last entry; 0 if the log is empty.
func (b *Bolt) LastIndex() (uint64, error) { return b.boundIndex(false) }

// GetLog reads an entry; raft.ErrLogNotFound if there is none.
func (b *Bolt) GetLog(index uint64, l *raft.Log) error {
	return b.db.View(func(tx *bbolt.Tx) error {
		raw := tx.Bucket(logBucket).Get(encodeUint64(index))
		if raw == nil {
			return raft.ErrLogNotFound
		}
		what := fmt.Sprintf("entry %d of the log", index)
		payload, err := b.decodeRecord(what, raw)
		if err != nil {
			return err
		}
		*l = raft.Log{}
		if json.Unmarshal(payload, l) != nil {
			return &DamagedError{b.path, what}
		}
		return nil
	})
}

// StoreLog writes an entry.
func (b *Bolt) StoreLog(l *raft.Log) error { return b.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries in one transaction.
func (b *Bolt) StoreLogs(logs []*raft.Log) error {
	return b.write(func(tx *bbolt.Tx) error {
		for _, l := range logs {
			raw, err := json.Marshal(l)
			if err != nil {
				return err
			}
			if err := tx.Bucket(logBucket).Put(encodeUint64(l.Index), encodeRecord(raw)); err != nil {
				return err
			}
		}
		return nil
	})
}

// DeleteRange deletes the entries from one index to another, inclusive.
func (b *Bolt) DeleteRange(from, to uint64) error {
	return b.write(func(tx *bbolt.Tx) error {
		c := tx.Bucket(logBucket).Cursor()
		for k, _ := c.Seek(encodeUint64(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

// ---- Term and vote ----

// Set writes a value under a key.
func (b *Bolt) Set(key, value []byte) error {
	return b.write(func(tx *bbolt.Tx) error { return tx.Bucket(stableBucket).Put(key, encodeRecord(value)) })
}

// Get reads the value of a key; nil if there is none.
func (b *Bolt) Get(key []byte) (value []byte, err error) {
	err = b.db.View(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket(stableBucket).Get(key); raw != nil {
			value, err = b.decodeRecord(string(key), raw)
			return err
		}
		return nil
	})
	return value, err
}

// SetUint64 writes an integer under a key.
func (b *Bolt) SetUint64(key []byte, value uint64) error { return b.Set(key, encodeUint64(value)) }

// GetUint64 reads the integer of a key; 0 if there is none.
func (b *Bolt) GetUint64(key []byte) (uint64, error) {
	raw, err := b.Get(key)
	if err != nil || len(raw) == 0 {
		return 0, err
	}
	if len(raw) != 8 {
		return 0, &DamagedError{b.path, string(key)}
	}
	return binary.BigEndian.Uint64(raw), nil
}

// ---- Snapshots ----

// Create begins a snapshot. It is buffered in memory until it is closed, as the state is some hundred kilobytes.
func (b *Bolt) Create(version raft.SnapshotVersion, index, term uint64, of raft.Configuration, ofIndex uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	m := raft.SnapshotMeta{Version: version, ID: fmt.Sprintf("%020d-%020d-%d", term, index, time.Now().UnixNano()), Index: index, Term: term,
		Configuration: of, ConfigurationIndex: ofIndex}
	return &snapshotSink{store: b, meta: m}, nil
}

// snapshotSink is a snapshot that is being written.
type snapshotSink struct {
	store *Bolt
	meta  raft.SnapshotMeta
	bytes.Buffer
	closed bool
}

func (s *snapshotSink) ID() string { return s.meta.ID }

// Cancel discards the snapshot.
func (s *snapshotSink) Cancel() error {
	s.closed = true
	return nil
}

// Close writes the snapshot and deletes the oldest ones, in one transaction.
func (s *snapshotSink) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.meta.Size = int64(s.Len())
	raw, err := json.Marshal(s.meta)
	if err != nil {
		return err
	}
	return s.store.write(func(tx *bbolt.Tx) error {
		metas, data := tx.Bucket(snapshotMetaBucket), tx.Bucket(snapshotDataBucket)
		id := []byte(s.meta.ID)
		if err := metas.Put(id, encodeRecord(raw)); err != nil {
			return err
		}
		if err := data.Put(id, encodeRecord(s.Bytes())); err != nil {
			return err
		}
		var all [][]byte
		for k, _ := metas.Cursor().First(); k != nil; {
			all = append(all, bytes.Clone(k))
			c := metas.Cursor()
			c.Seek(k)
			k, _ = c.Next()
		}
		for _, old := range all[:max(0, len(all)-snapshotsKept)] {
			if err := errors.Join(metas.Delete(old), data.Delete(old)); err != nil {
				return err
			}
		}
		return nil
	})
}

// List returns the snapshots, the latest first: IDs sort by term and index.
func (b *Bolt) List() (all []*raft.SnapshotMeta, err error) {
	err = b.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(snapshotMetaBucket).Cursor()
		for k, raw := c.Last(); k != nil; k, raw = c.Prev() {
			m, err := b.decodeMeta(string(k), raw)
			if err != nil {
				return err
			}
			all = append(all, m)
		}
		return nil
	})
	return all, err
}

// decodeMeta decodes the metadata of a snapshot.
func (b *Bolt) decodeMeta(id string, raw []byte) (*raft.SnapshotMeta, error) {
	payload, err := b.decodeRecord("snapshot "+id, raw)
	if err != nil {
		return nil, err
	}
	m := &raft.SnapshotMeta{}
	if json.Unmarshal(payload, m) != nil {
		return nil, &DamagedError{b.path, "snapshot " + id}
	}
	return m, nil
}

// Open opens a snapshot.
func (b *Bolt) Open(id string) (m *raft.SnapshotMeta, r io.ReadCloser, err error) {
	err = b.db.View(func(tx *bbolt.Tx) error {
		raw, data := tx.Bucket(snapshotMetaBucket).Get([]byte(id)), tx.Bucket(snapshotDataBucket).Get([]byte(id))
		if raw == nil || data == nil {
			return &SnapshotNotFoundError{b.path, id}
		}
		if m, err = b.decodeMeta(id, raw); err != nil {
			return err
		}
		payload, err := b.decodeRecord("snapshot "+id, data)
		r = io.NopCloser(bytes.NewReader(payload))
		return err
	})
	return m, r, err
}

// Memory is a store in memory.
type Memory struct {
	*raft.InmemStore
	*raft.InmemSnapshotStore
}

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{raft.NewInmemStore(), raft.NewInmemSnapshotStore()} }

// Get reads the value of a key; nil if there is none, as raft.StableStore requires. The library's store returns an error.
func (m *Memory) Get(key []byte) ([]byte, error) {
	v, err := m.InmemStore.Get(key)
	if err != nil {
		return nil, nil
	}
	return bytes.Clone(v), nil
}

// Set writes a copy of a value under a key.
func (m *Memory) Set(key, value []byte) error { return m.InmemStore.Set(key, bytes.Clone(value)) }

// Close does nothing.
func (m *Memory) Close() error { return nil }
