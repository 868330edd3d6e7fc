// Package tally adds up, over a fleet, the accounts that doors write in their logs every few seconds: the
// frontdoor's "account" lines, in logfmt as logrus writes them. Each door's incarnation begins at its "serving" line;
// a incarnation's n-th account is window n, so that the doors' windows line up by their own clocks whatever the wall
// clock of the log says. Counts are of requests (arrived, rejected_<cause>, failed_<cause>), of
// attempts (sent) and of decisions (differs_<kind>).
package tally

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/go-logfmt/logfmt"

	"github.com/swifthall/swifthall/internal/fields"
)

// The messages that a door's log words a start and an account with.
const (
	startMessage   = "serving"
	accountMessage = "account"
)

// Counts holds counts by field name.
type Counts map[string]int

// Fleet is what the logs of a fleet's doors add up to.
type Fleet struct {
	Incarnations int      // doors' incarnations: a door that started again counts twice
	Windows      []Counts // window n: the n-th account of every incarnation, added up
	Total        Counts
}

// AddLog reads one door's log and adds its accounts to the fleet. Lines that are not logfmt, or accounts with a
// count that is not a whole number, are errors naming the line and the key; nothing of the log is added then.
func (f *Fleet) AddLog(r io.Reader) error {
	var incarnations [][]Counts
	d := logfmt.NewDecoder(bufio.NewReader(r))
	for line := 1; d.ScanRecord(); line++ {
		rec := map[string]string{}
		for d.ScanKeyval() {
			rec[string(d.Key())] = string(d.Value())
		}
		if err := d.Err(); err != nil {
			return &LineError{Line: line, Cause: err}
		}
		switch rec["msg"] {
		case startMessage:
			incarnations = append(incarnations, nil)
		case accountMessage:
			c, err := parseCounts(line, rec)
			if err != nil {
				return err
			}
			if len(incarnations) == 0 { // a log that begins after the start
				incarnations = append(incarnations, nil)
			}
			incarnations[len(incarnations)-1] = append(incarnations[len(incarnations)-1], c)
		}
	}
	if err := d.Err(); err != nil {
		return &LineError{Cause: err}
	}
	f.add(incarnations)
	return nil
}

// parseCounts takes the parseCounts of one account line.
func parseCounts(line int, rec map[string]string) (Counts, error) {
	c := Counts{}
	for k, v := range rec {
		if !isCounted(k) {
			continue
		}
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			return nil, &LineError{Line: line, Key: k, Value: v}
		}
		c[k] = n
	}
	return c, nil
}

func isCounted(k string) bool {
	return k == fields.Arrived || k == fields.Sent || strings.HasPrefix(k, fields.Rejected) ||
		strings.HasPrefix(k, fields.Failed) || strings.HasPrefix(k, fields.Differs)
}

func (f *Fleet) add(incarnations [][]Counts) {
	if f.Total == nil {
		f.Total = Counts{}
	}
	for _, incarnation := range incarnations {
		f.Incarnations++
		for n, c := range incarnation {
			for len(f.Windows) <= n {
				f.Windows = append(f.Windows, Counts{})
			}
			for k, v := range c {
				f.Windows[n][k] += v
				f.Total[k] += v
			}
		}
	}
}

// Keys are the fields counted anywhere: arrived and sent first, then the others by their whole count, most first.
func (f *Fleet) Keys() []string {
	rest := slices.DeleteFunc(slices.Collect(maps.Keys(f.Total)), func(k string) bool {
		return k == fields.Arrived || k == fields.Sent
	})
	slices.SortFunc(rest, func(a, b string) int {
		if f.Total[a] != f.Total[b] {
			return f.Total[b] - f.Total[a]
		}
		return cmp.Compare(a, b)
	})
	return append([]string{fields.Arrived, fields.Sent}, rest...)
}

// Print writes the fleet as a table: a row for each field, its whole count, its share of the requests that
// arrived, and its count in each window.
func (f *Fleet) Print(w io.Writer, windowMs float64) {
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%d lives of doors\t\twhole\tof arrived\t", f.Incarnations)
	for n := range f.Windows {
		fmt.Fprintf(t, "%.0f s\t", float64(n+1)*windowMs/1e3)
	}
	fmt.Fprintln(t)
	for _, k := range f.Keys() {
		share := 0.0
		if a := f.Total[fields.Arrived]; a > 0 {
			share = float64(f.Total[k]) / float64(a)
		}
		fmt.Fprintf(t, "%s\t\t%d\t%.3f\t", k, f.Total[k], share)
		for _, c := range f.Windows {
			fmt.Fprintf(t, "%d\t", c[k])
		}
		fmt.Fprintln(t)
	}
	t.Flush()
}
