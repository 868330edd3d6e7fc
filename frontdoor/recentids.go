package frontdoor

import "hash/maphash"

// A request whose client has left may still run at a backend, even if its attempt was cancelled. Its id must not run again when it
// comes once more, so the ids of requests that may have run are remembered for a while after they are over.
const (
	recentIDTime   = 60e3    // ms; longer than requests, deduplication windows and their repeats usually last
	recentIDMemory = 64      // bytes of one remembered id
	recentIDsShare = 64      // remembered ids may take up this share (1/64) of the memory limit
	maxRecentIDs   = 200_000 // without a memory limit
)

// recentIDs remembers the ids of requests that are over, by their hashes, the latest ones if there are too many.
type recentIDs struct {
	seed   maphash.Seed
	limit  int
	until  map[uint64]float64 // clock until which an id is remembered, ms
	oldest []recentID         // in order of time
}

type recentID struct {
	hash  uint64
	until float64 // clock, ms
}

// newRecentIDs returns an empty memory of ids for a process with a memory limit in MB; 0 means no limit.
func newRecentIDs(limitMB int) *recentIDs {
	limit := maxRecentIDs
	if limitMB > 0 {
		limit = limitMB << 20 / recentIDsShare / recentIDMemory
	}
	return &recentIDs{seed: maphash.MakeSeed(), limit: limit, until: map[uint64]float64{}}
}

// add remembers an id.
func (r *recentIDs) add(id string, now float64) {
	entry := recentID{maphash.String(r.seed, id), now + recentIDTime}
	for len(r.oldest) > 0 && (r.oldest[0].until <= now || len(r.oldest) >= r.limit) {
		if first := r.oldest[0]; r.until[first.hash] == first.until { // it has not been added again since
			delete(r.until, first.hash)
		}
		r.oldest = r.oldest[1:]
	}
	r.oldest = append(r.oldest, entry)
	r.until[entry.hash] = entry.until
}

// contains reports whether an id is remembered.
func (r *recentIDs) contains(id string, now float64) bool {
	return now < r.until[maphash.String(r.seed, id)]
}
