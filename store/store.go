// Package store keeps what a coordinator must not forget: hashicorp/raft's log, its votes and its snapshots, in one file of
// bbolt, or in memory. Each record carries a version and a checksum: an older form is read, a newer one and a damaged one are
// refused by type. A write that fails is the end of its coordinator; the others go on.
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

// Store is all that raft keeps. storetest holds what every one must do.
type Store interface {
	raft.LogStore
	raft.StableStore
	raft.SnapshotStore
	Close() error
}

// Version of the records. An older one is read, a newer one refused.
const Version = 1

const (
	lockFor   = time.Second // that another process may still hold the file for
	snapshots = 2           // that are kept: the latest, and the one before it
	headSize  = 9           // bytes before a record: version and checksum
	private   = 0o600       // mode of the file: it tells who may do what
)

var (
	logBucket  = []byte("log")
	termBucket = []byte("stable")
	metaBucket = []byte("snapshot")
	dataBucket = []byte("snapshot-data")
)

// Options of a file.
type Options struct {
	NoSync       bool                // leave it to the system when bytes reach the disk: a machine that stops loses what it said
	BeforeWrite  func() error        // called before each write; its error is the write's. For rigs that spoil disks
	OnWrite      func(time.Duration) // hears how long each write took
	OnWriteError func(error)         // hears of a write that failed before raft does, and need not return
}

// Bolt is a store in one file.
type Bolt struct {
	path string
	db   *bbolt.DB
	o    Options
}

// Open opens a file, or makes it.
func Open(path string, o Options) (*Bolt, error) {
	db, err := bbolt.Open(path, private, &bbolt.Options{Timeout: lockFor, NoSync: o.NoSync, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, &OpenError{path, err}
	}
	b := &Bolt{path, db, o}
	err = b.write(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{logBucket, termBucket, metaBucket, dataBucket} {
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

// Close gives the file back.
func (b *Bolt) Close() error { return b.db.Close() }

func (b *Bolt) write(do func(tx *bbolt.Tx) error) error {
	began := time.Now()
	var err error
	if b.o.BeforeWrite != nil {
		err = b.o.BeforeWrite()
	}
	if err == nil {
		err = b.db.Update(do)
	}
	if b.o.OnWrite != nil {
		b.o.OnWrite(time.Since(began))
	}
	if err != nil {
		err = &WriteError{b.path, err}
		if b.o.OnWriteError != nil {
			b.o.OnWriteError(err)
		}
	}
	return err
}

// seal puts version and checksum before a record.
func seal(raw []byte) []byte {
	out := make([]byte, headSize, headSize+len(raw))
	out[0] = Version
	binary.BigEndian.PutUint64(out[1:], xxhash.Sum64(raw))
	return append(out, raw...)
}

// unseal gives a record back, as a copy of its own.
func (b *Bolt) unseal(what string, raw []byte) ([]byte, error) {
	switch {
	case len(raw) < headSize:
		return nil, &DamagedError{b.path, what}
	case raw[0] > Version || raw[0] == 0:
		return nil, &VersionError{b.path, int(raw[0])}
	case binary.BigEndian.Uint64(raw[1:]) != xxhash.Sum64(raw[headSize:]):
		return nil, &DamagedError{b.path, what}
	}
	return bytes.Clone(raw[headSize:]), nil
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// ---- The log ----

func (b *Bolt) end(first bool) (n uint64, err error) {
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

// FirstIndex is that of the first entry; 0 for none.
func (b *Bolt) FirstIndex() (uint64, error) { return b.end(true) }

// LastIndex is that of the last entry; 0 for none.
func (b *Bolt) LastIndex() (uint64, error) { return b.end(false) }

// GetLog reads an entry.
func (b *Bolt) GetLog(index uint64, l *raft.Log) error {
	return b.db.View(func(tx *bbolt.Tx) error {
		raw := tx.Bucket(logBucket).Get(number(index))
		if raw == nil {
			return raft.ErrLogNotFound
		}
		what := fmt.Sprintf("entry %d of the log", index)
		plain, err := b.unseal(what, raw)
		if err != nil {
			return err
		}
		*l = raft.Log{}
		if json.Unmarshal(plain, l) != nil {
			return &DamagedError{b.path, what}
		}
		return nil
	})
}

// StoreLog writes an entry.
func (b *Bolt) StoreLog(l *raft.Log) error { return b.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries, all or none.
func (b *Bolt) StoreLogs(logs []*raft.Log) error {
	return b.write(func(tx *bbolt.Tx) error {
		for _, l := range logs {
			raw, err := json.Marshal(l)
			if err != nil {
				return err
			}
			if err := tx.Bucket(logBucket).Put(number(l.Index), seal(raw)); err != nil {
				return err
			}
		}
		return nil
	})
}

// DeleteRange deletes entries from one index to another, both among them.
func (b *Bolt) DeleteRange(from, to uint64) error {
	return b.write(func(tx *bbolt.Tx) error {
		c := tx.Bucket(logBucket).Cursor()
		for k, _ := c.Seek(number(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

// ---- Votes ----

// Set writes a value under a key.
func (b *Bolt) Set(key, value []byte) error {
	return b.write(func(tx *bbolt.Tx) error { return tx.Bucket(termBucket).Put(key, seal(value)) })
}

// Get reads it; nothing where there is none.
func (b *Bolt) Get(key []byte) (value []byte, err error) {
	err = b.db.View(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket(termBucket).Get(key); raw != nil {
			value, err = b.unseal(string(key), raw)
			return err
		}
		return nil
	})
	return value, err
}

// SetUint64 writes a number under a key.
func (b *Bolt) SetUint64(key []byte, value uint64) error { return b.Set(key, number(value)) }

// GetUint64 reads it; 0 where there is none.
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

// Create begins a snapshot. It is kept in memory until it is closed: the state is some hundred kilobytes.
func (b *Bolt) Create(version raft.SnapshotVersion, index, term uint64, of raft.Configuration, ofIndex uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	m := raft.SnapshotMeta{Version: version, ID: fmt.Sprintf("%020d-%020d-%d", term, index, time.Now().UnixNano()), Index: index, Term: term,
		Configuration: of, ConfigurationIndex: ofIndex}
	return &sink{b: b, meta: m}, nil
}

// sink is a snapshot that is being written.
type sink struct {
	b    *Bolt
	meta raft.SnapshotMeta
	bytes.Buffer
	over bool
}

func (s *sink) ID() string { return s.meta.ID }

// Cancel forgets it.
func (s *sink) Cancel() error {
	s.over = true
	return nil
}

// Close writes it, whole or not at all, and lets older ones go.
func (s *sink) Close() error {
	if s.over {
		return nil
	}
	s.over = true
	s.meta.Size = int64(s.Len())
	raw, err := json.Marshal(s.meta)
	if err != nil {
		return err
	}
	return s.b.write(func(tx *bbolt.Tx) error {
		metas, data := tx.Bucket(metaBucket), tx.Bucket(dataBucket)
		id := []byte(s.meta.ID)
		if err := metas.Put(id, seal(raw)); err != nil {
			return err
		}
		if err := data.Put(id, seal(s.Bytes())); err != nil {
			return err
		}
		var all [][]byte
		for k, _ := metas.Cursor().First(); k != nil; {
			all = append(all, bytes.Clone(k))
			c := metas.Cursor()
			c.Seek(k)
			k, _ = c.Next()
		}
		for _, old := range all[:max(0, len(all)-snapshots)] {
			if err := errors.Join(metas.Delete(old), data.Delete(old)); err != nil {
				return err
			}
		}
		return nil
	})
}

// List lists snapshots, the latest first. Ids sort by term and index.
func (b *Bolt) List() (all []*raft.SnapshotMeta, err error) {
	err = b.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(metaBucket).Cursor()
		for k, raw := c.Last(); k != nil; k, raw = c.Prev() {
			m, err := b.meta(string(k), raw)
			if err != nil {
				return err
			}
			all = append(all, m)
		}
		return nil
	})
	return all, err
}

func (b *Bolt) meta(id string, raw []byte) (*raft.SnapshotMeta, error) {
	plain, err := b.unseal("snapshot "+id, raw)
	if err != nil {
		return nil, err
	}
	m := &raft.SnapshotMeta{}
	if json.Unmarshal(plain, m) != nil {
		return nil, &DamagedError{b.path, "snapshot " + id}
	}
	return m, nil
}

// Open opens a snapshot.
func (b *Bolt) Open(id string) (m *raft.SnapshotMeta, r io.ReadCloser, err error) {
	err = b.db.View(func(tx *bbolt.Tx) error {
		raw, data := tx.Bucket(metaBucket).Get([]byte(id)), tx.Bucket(dataBucket).Get([]byte(id))
		if raw == nil || data == nil {
			return &UnknownError{b.path, id}
		}
		if m, err = b.meta(id, raw); err != nil {
			return err
		}
		plain, err := b.unseal("snapshot "+id, data)
		r = io.NopCloser(bytes.NewReader(plain))
		return err
	})
	return m, r, err
}

// Memory is a store that ends with its process.
type Memory struct {
	*raft.InmemStore
	*raft.InmemSnapshotStore
}

// NewMemory returns an empty one.
func NewMemory() *Memory { return &Memory{raft.NewInmemStore(), raft.NewInmemSnapshotStore()} }

// Get reads a value; nothing where there is none, as the interface has it. The library's own makes an error of that.
func (m *Memory) Get(key []byte) ([]byte, error) {
	v, err := m.InmemStore.Get(key)
	if err != nil {
		return nil, nil
	}
	return bytes.Clone(v), nil
}

// Set writes a copy of a value.
func (m *Memory) Set(key, value []byte) error { return m.InmemStore.Set(key, bytes.Clone(value)) }

// Close does nothing.
func (m *Memory) Close() error { return nil }
