// Package tally adds up the accounts that a fleet's doors write to their logs every few seconds: the "account" lines of the
// frontdoor, in the logfmt that logrus writes. An incarnation of a door begins at its "serving" line. Its n-th account is window n,
// so that windows are aligned by the doors' own clocks, whatever the wall clock of the log says. The counts are of requests
// (arrived, rejected_<cause>, failed_<cause>), attempts (sent) and decisions (differs_<kind>).
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

// Log messages of a door's start and of its accounts.
const (
	startMessage   = "serving"
	accountMessage = "account"
)

// Counts holds counts by field name.
type Counts map[string]int

// Fleet is the sum of the accounts of a fleet's doors.
type Fleet struct {
	Incarnations int      // a door that was restarted counts again
	Windows      []Counts // window n is the sum of the n-th accounts of all incarnations
	Total        Counts
}

// AddLog reads the log of one door and adds its accounts. A line that is not logfmt, or a count that is not a whole number, is an
// error that names the line and the key, and nothing of that log is added.
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
			if len(incarnations) == 0 { // the log begins after the door's start
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

// parseCounts returns the counts of an account line.
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

// isCounted reports whether a log field is a count.
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

// Keys returns the names of all counts: arrived and sent, then the others by their total, highest first.
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

// Print writes a table with a row per count: its total, its ratio to the requests that arrived, and its value in each window.
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
