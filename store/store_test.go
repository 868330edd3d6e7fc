package store_test

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"github.com/swifthall/swifthall/store"
	"github.com/swifthall/swifthall/store/storetest"
)

const file = "raft.db"

func onDisk(o store.Options) func(t *testing.T, dir string) store.Store {
	return func(t *testing.T, dir string) store.Store {
		s, err := store.Open(filepath.Join(dir, file), o)
		require.NoError(t, err)
		return s
	}
}

func TestContractOfMemory(t *testing.T) {
	storetest.Run(t, storetest.Kit{Open: func(*testing.T, string) store.Store { return store.NewMemory() }})
}

func TestContractOfBolt(t *testing.T) {
	storetest.Run(t, storetest.Kit{Open: onDisk(store.Options{}), Durable: true, File: file, Roots: []int{0, 1}})
}

func TestContractOfBoltWithoutSync(t *testing.T) {
	storetest.Run(t, storetest.Kit{Open: onDisk(store.Options{NoSync: true}), Durable: true})
}

func TestContractOfASlowDisk(t *testing.T) {
	slow := func() error { time.Sleep(time.Millisecond); return nil }
	storetest.Run(t, storetest.Kit{Open: onDisk(store.Options{BeforeWrite: slow}), Durable: true})
}

func TestAWriteThatFailsIsToldFirstAndChangesNothing(t *testing.T) {
	var broken error
	var told error
	var took []time.Duration
	s, err := store.Open(filepath.Join(t.TempDir(), file), store.Options{BeforeWrite: func() error { return broken }, OnWriteError: func(err error) { told = err },
		OnWrite: func(d time.Duration) { took = append(took, d) }})
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, s.SetUint64([]byte("term"), 1))
	broken = syscall.ENOSPC
	err = s.SetUint64([]byte("term"), 2)
	var failed *store.WriteError
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, err, told)
	assert.ErrorIs(t, err, syscall.ENOSPC)
	assert.Contains(t, failed.Remedy(), "Make room")
	n, err := s.GetUint64([]byte("term"))
	require.NoError(t, err)
	assert.EqualValues(t, 1, n)
	assert.NotEmpty(t, took)
}

// patch changes a record in the file behind the store's back.
func patch(t *testing.T, path, bucket string, change func(raw []byte) []byte) {
	db, err := bbolt.Open(path, 0o600, nil)
	require.NoError(t, err)
	defer db.Close()
	require.NoError(t, db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte(bucket))
		k, v := b.Cursor().First()
		return b.Put(k, change(append([]byte(nil), v...)))
	}))
}

func TestADamagedOrNewerRecordIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), file)
	s, err := store.Open(path, store.Options{})
	require.NoError(t, err)
	require.NoError(t, s.StoreLog(&raft.Log{Index: 1, Data: []byte("x")}))
	require.NoError(t, s.SetUint64([]byte("term"), 3))
	require.NoError(t, s.Close())
	reopen := func() (err, vote error) {
		s, e := store.Open(path, store.Options{})
		require.NoError(t, e)
		defer s.Close()
		_, vote = s.GetUint64([]byte("term"))
		return s.GetLog(1, &raft.Log{}), vote
	}
	patch(t, path, "log", func(raw []byte) []byte { raw[len(raw)-2] ^= 1; return raw })
	patch(t, path, "stable", func(raw []byte) []byte { raw[0] = store.Version + 1; return raw })
	entry, vote := reopen()
	var damaged *store.DamagedError
	require.ErrorAs(t, entry, &damaged)
	assert.Contains(t, damaged.What, "entry 1")
	var newer *store.VersionError
	require.ErrorAs(t, vote, &newer)
	assert.Contains(t, newer.Remedy(), "newer release")
	patch(t, path, "log", func([]byte) []byte { return []byte{1, 2} })
	entry, _ = reopen()
	require.ErrorAs(t, entry, &damaged)
}

func TestAFileThatIsNoStoreIsNamed(t *testing.T) {
	path := filepath.Join(t.TempDir(), file)
	require.NoError(t, os.WriteFile(path, []byte("no store at all, and longer than a few bytes"), 0o600))
	_, err := store.Open(path, store.Options{})
	var open *store.OpenError
	require.True(t, errors.As(err, &open))
	assert.Contains(t, open.Remedy(), path)
}
