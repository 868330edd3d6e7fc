// Package storetest verifies implementations of store.Store, as testing/fstest does for file systems.
package storetest

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/store"
)

// Config is the store that is tested.
type Config struct {
	// Open opens the store in a directory, which may have files of an earlier store.
	Open func(t *testing.T, dir string) store.Store
	// Durable means that a store that is opened again has what was written.
	Durable bool
	// File is the file in the directory that a crash may leave partly written; empty for none. MetaPages are its pages
	// that a commit writes last and separately.
	File      string
	MetaPages []int
}

const (
	pageSize   = 4096 // bytes
	sectorSize = 512  // bytes that a disk writes as a unit
)

// Run tests a store.
func Run(t *testing.T, k Config) {
	for _, c := range []struct {
		name    string
		test    func(t *testing.T, k Config)
		applies bool // to the tested store
	}{
		{"log entries and bounds", testLog, true},
		{"deleting entries from either end", testDeleteRange, true},
		{"term and vote", testStable, true},
		{"snapshots are complete or absent", testSnapshots, true},
		{"values are copied", testCopies, true},
		{"concurrent reads and writes", testConcurrentReads, true},
		{"reopening", testReopen, k.Durable},
		{"a torn write leaves the state before or after it", testTornWrites, k.File != ""},
	} {
		if c.applies {
			t.Run(c.name, func(t *testing.T) { c.test(t, k) })
		}
	}
}

func entry(i uint64) *raft.Log {
	return &raft.Log{Index: i, Term: 1 + i/10, Type: raft.LogCommand, Data: bytes.Repeat([]byte{byte(i)}, int(i%7)*300+1)}
}

func appendEntries(t *testing.T, s store.Store, from, to uint64) {
	var all []*raft.Log
	for i := from; i <= to; i++ {
		all = append(all, entry(i))
	}
	require.NoError(t, s.StoreLogs(all))
}

func bounds(t *testing.T, s store.Store) (first, last uint64) {
	first, err := s.FirstIndex()
	require.NoError(t, err)
	last, err = s.LastIndex()
	require.NoError(t, err)
	return first, last
}

func openEmpty(t *testing.T, k Config) store.Store {
	s := k.Open(t, t.TempDir())
	t.Cleanup(func() { s.Close() })
	return s
}

func testLog(t *testing.T, k Config) {
	s := openEmpty(t, k)
	first, last := bounds(t, s)
	assert.Zero(t, first)
	assert.Zero(t, last)
	var l raft.Log
	assert.ErrorIs(t, s.GetLog(3, &l), raft.ErrLogNotFound)
	appendEntries(t, s, 5, 40)
	require.NoError(t, s.StoreLog(entry(41)))
	first, last = bounds(t, s)
	assert.EqualValues(t, []uint64{5, 41}, []uint64{first, last})
	for i := first; i <= last; i++ {
		require.NoError(t, s.GetLog(i, &l))
		assert.Equal(t, entry(i).Data, l.Data)
		assert.Equal(t, entry(i).Term, l.Term)
	}
	other := entry(20)
	other.Term, other.Data = 99, []byte("another leader's")
	require.NoError(t, s.StoreLog(other))
	require.NoError(t, s.GetLog(20, &l))
	assert.EqualValues(t, 99, l.Term)
	assert.Equal(t, other.Data, l.Data)
	assert.ErrorIs(t, s.GetLog(42, &l), raft.ErrLogNotFound)
}

func testDeleteRange(t *testing.T, k Config) {
	s := openEmpty(t, k)
	appendEntries(t, s, 1, 1000)
	require.NoError(t, s.DeleteRange(1, 600))
	require.NoError(t, s.DeleteRange(901, 1000))
	first, last := bounds(t, s)
	assert.EqualValues(t, []uint64{601, 900}, []uint64{first, last})
	var l raft.Log
	assert.ErrorIs(t, s.GetLog(600, &l), raft.ErrLogNotFound)
	require.NoError(t, s.GetLog(601, &l))
	require.NoError(t, s.DeleteRange(601, 900))
	first, last = bounds(t, s)
	assert.Zero(t, first)
	assert.Zero(t, last)
}

func testStable(t *testing.T, k Config) {
	s := openEmpty(t, k)
	v, err := s.Get([]byte("who"))
	require.NoError(t, err)
	assert.Empty(t, v)
	n, err := s.GetUint64([]byte("term"))
	require.NoError(t, err)
	assert.Zero(t, n)
	for i := range uint64(5) {
		require.NoError(t, s.SetUint64([]byte("term"), i*1e12))
		require.NoError(t, s.Set([]byte("who"), fmt.Append(nil, "c-", i)))
	}
	n, err = s.GetUint64([]byte("term"))
	require.NoError(t, err)
	assert.EqualValues(t, uint64(4e12), n)
	v, err = s.Get([]byte("who"))
	require.NoError(t, err)
	assert.Equal(t, "c-4", string(v))
}

func createSnapshot(t *testing.T, s store.Store, index, term uint64, data []byte) string {
	_, trans := raft.NewInmemTransport("")
	sink, err := s.Create(1, index, term, raft.Configuration{Servers: []raft.Server{{ID: "c", Address: "a"}}}, 1, trans)
	require.NoError(t, err)
	for rest := data; len(rest) > 0; {
		n, err := sink.Write(rest[:min(1000, len(rest))])
		require.NoError(t, err)
		rest = rest[n:]
	}
	require.NoError(t, sink.Close())
	return sink.ID()
}

func latestSnapshot(t *testing.T, s store.Store) (*raft.SnapshotMeta, []byte) {
	all, err := s.List()
	require.NoError(t, err)
	if len(all) == 0 {
		return nil, nil
	}
	m, r, err := s.Open(all[0].ID)
	require.NoError(t, err)
	defer r.Close()
	raw, err := io.ReadAll(r)
	require.NoError(t, err)
	return m, raw
}

func testSnapshots(t *testing.T, k Config) {
	s := openEmpty(t, k)
	m, _ := latestSnapshot(t, s)
	assert.Nil(t, m)
	for i := uint64(1); i < 6; i++ {
		id := createSnapshot(t, s, i*100, i, bytes.Repeat([]byte{byte(i)}, int(i)<<16))
		m, raw := latestSnapshot(t, s)
		assert.Equal(t, id, m.ID)
		assert.EqualValues(t, i*100, m.Index)
		assert.EqualValues(t, i, m.Term)
		assert.EqualValues(t, "c", m.Configuration.Servers[0].ID)
		assert.Equal(t, bytes.Repeat([]byte{byte(i)}, int(i)<<16), raw)
		assert.EqualValues(t, len(raw), m.Size)
	}
	_, trans := raft.NewInmemTransport("")
	sink, err := s.Create(1, 900, 9, raft.Configuration{}, 1, trans)
	require.NoError(t, err)
	_, err = sink.Write([]byte("half"))
	require.NoError(t, err)
	require.NoError(t, sink.Cancel())
	if _, memory := s.(*store.Memory); !memory { // the library's store keeps a cancelled snapshot
		m, _ = latestSnapshot(t, s)
		assert.EqualValues(t, 500, m.Index)
	}
	_, _, err = s.Open("no such")
	assert.Error(t, err)
}

func testCopies(t *testing.T, k Config) {
	s := openEmpty(t, k)
	v := []byte("first")
	require.NoError(t, s.Set([]byte("who"), v))
	copy(v, "other")
	got, err := s.Get([]byte("who"))
	require.NoError(t, err)
	assert.Equal(t, "first", string(got))
	got[0] = 'F'
	got, err = s.Get([]byte("who"))
	require.NoError(t, err)
	assert.Equal(t, "first", string(got))
}

func testConcurrentReads(t *testing.T, k Config) {
	s := openEmpty(t, k)
	appendEntries(t, s, 1, 50)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for i := range uint64(200) {
				var l raft.Log
				assert.NoError(t, s.GetLog(1+i%50, &l))
				_, err := s.LastIndex()
				assert.NoError(t, err)
			}
		})
	}
	for i := uint64(51); i < 80; i++ {
		appendEntries(t, s, i, i)
	}
	group.Wait()
}

func testReopen(t *testing.T, k Config) {
	dir := t.TempDir()
	s := k.Open(t, dir)
	appendEntries(t, s, 1, 30)
	require.NoError(t, s.SetUint64([]byte("term"), 7))
	id := createSnapshot(t, s, 20, 2, []byte("state"))
	require.NoError(t, s.DeleteRange(1, 10))
	require.NoError(t, s.Close())
	assert.Error(t, s.StoreLog(entry(99)), "the store is closed")
	s = k.Open(t, dir)
	defer s.Close()
	first, last := bounds(t, s)
	assert.EqualValues(t, []uint64{11, 30}, []uint64{first, last})
	n, err := s.GetUint64([]byte("term"))
	require.NoError(t, err)
	assert.EqualValues(t, 7, n)
	m, raw := latestSnapshot(t, s)
	assert.Equal(t, id, m.ID)
	assert.Equal(t, "state", string(raw))
}

// dump returns the contents of a store as text.
func dump(t *testing.T, s store.Store) string {
	var out bytes.Buffer
	first, last := bounds(t, s)
	fmt.Fprint(&out, first, last)
	for i := first; i <= last && first > 0; i++ {
		var l raft.Log
		if err := s.GetLog(i, &l); err != nil {
			fmt.Fprint(&out, " ", i, err)
			continue
		}
		fmt.Fprintf(&out, " %d:%d:%x", i, l.Term, l.Data)
	}
	n, err := s.GetUint64([]byte("term"))
	v, err2 := s.Get([]byte("who"))
	m, raw := latestSnapshot(t, s)
	fmt.Fprint(&out, n, err, string(v), err2)
	if m != nil {
		fmt.Fprintf(&out, "%d %d %x", m.Index, m.Term, raw)
	}
	return out.String()
}

// testTornWrites simulates a crash during each of a series of writes. A random subset of the changed pages is on the disk,
// one of them in part; the meta pages, which are written last, are written completely, in part or not at all. The store
// must then have the state before the write or the state after it.
func testTornWrites(t *testing.T, k Config) {
	rng := rand.New(rand.NewPCG(11, 1))
	dir := t.TempDir()
	file := filepath.Join(dir, k.File)
	dumpImage := func(image []byte) string {
		other := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(other, k.File), image, 0o600))
		s := k.Open(t, other)
		defer s.Close()
		return dump(t, s)
	}
	readFile := func() []byte {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		return raw
	}
	s := k.Open(t, dir)
	defer func() { s.Close() }()
	appendEntries(t, s, 1, 40)
	steps := []func(){
		func() { appendEntries(t, s, 41, 41) },
		func() { appendEntries(t, s, 42, 70) },
		func() { require.NoError(t, s.SetUint64([]byte("term"), 8)) },
		func() { require.NoError(t, s.Set([]byte("who"), []byte("c-2"))) },
		func() { createSnapshot(t, s, 60, 3, bytes.Repeat([]byte("state"), 3000)) },
		func() { require.NoError(t, s.DeleteRange(1, 55)) },
		func() { appendEntries(t, s, 71, 300) },
		func() { require.NoError(t, s.DeleteRange(250, 300)) },
		func() { createSnapshot(t, s, 240, 4, bytes.Repeat([]byte("later"), 30000)) },
		func() { require.NoError(t, s.SetUint64([]byte("term"), 9)) },
	}
	images, asBefore := 0, 0
	for _, step := range steps {
		before, stateBefore := readFile(), dump(t, s)
		step()
		after, stateAfter := readFile(), dump(t, s)
		require.NotEqual(t, stateBefore, stateAfter)
		var pages, metaPages []int
		padded := append(bytes.Clone(before), make([]byte, max(0, len(after)-len(before)))...)
		for p := 0; p*pageSize < len(after); p++ {
			if at := p * pageSize; !bytes.Equal(padded[at:at+pageSize], after[at:at+pageSize]) {
				if slices.Contains(k.MetaPages, p) {
					metaPages = append(metaPages, p)
				} else {
					pages = append(pages, p)
				}
			}
		}
		require.NotEmpty(t, metaPages)
		check := func(image []byte) string {
			images++
			got := dumpImage(image)
			require.Contains(t, []string{stateBefore, stateAfter}, got, "neither the state before the write nor the state after it")
			if got == stateBefore {
				asBefore++
			}
			return got
		}
		for range 6 { // meta pages not written yet: state before the write
			image := bytes.Clone(padded)
			rng.Shuffle(len(pages), func(a, b int) { pages[a], pages[b] = pages[b], pages[a] })
			n := rng.IntN(len(pages) + 1)
			for i, p := range pages[:n] {
				size := pageSize
				if i == n-1 {
					size = sectorSize * (1 + rng.IntN(pageSize/sectorSize))
				}
				copy(image[p*pageSize:p*pageSize+size], after[p*pageSize:])
			}
			require.Equal(t, stateBefore, check(image), "uncommitted changes are visible")
		}
		for cut := 8; cut <= 96; cut += 8 { // meta page written in part
			image := bytes.Clone(after)
			for _, r := range metaPages {
				copy(image[r*pageSize+cut:(r+1)*pageSize], padded[r*pageSize+cut:])
			}
			check(image)
		}
		require.Equal(t, stateAfter, check(after), "committed changes are missing")
	}
	assert.Greater(t, images, 100)
	assert.Greater(t, asBefore, images/3)
	t.Logf("%d images of a torn file, %d with the state before the write, the others with the state after it", images, asBefore)
}
