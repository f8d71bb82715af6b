// This file owns the folder of results: the experiment as it was, a row for each run, and each day's course. Rows that
// are written stay readable whatever happens after them.

package lab

import (
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"sandpass/internal/faults"
)

const (
	sheetFile = "experiment.toml"
	rowsFile  = "rows.csv"
	daysFile  = "days.jsonl"
	tableFile = "summary.md"
	steps     = 200 // points of a latency curve
)

// Course is what is kept of a day beside its row, for charts.
type TimeSeries struct {
	Run     int
	Asked   []float64
	Served  []float64
	Latency []float64 // seconds, at even steps of the answered part
	Plan    faults.Plan
}

// Row is one line of the table as it was written.
type Row struct {
	Run    int
	Cell   []string
	Policy string
	Seed   uint64
	Values map[string]float64
	Text   map[string]string
}

// Folder is a place for the results of one experiment.
type ResultFolder struct {
	dir        string
	sheet      *ExpandedExperiment
	rows, days *os.File
	have       map[int]bool
}

// Open takes a folder for an experiment's results, makes it where there is none, and finds what is done already.
// Another experiment's is refused.
func OpenResultFolder(dir string, s *ExpandedExperiment) (*ResultFolder, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	f := &ResultFolder{dir: dir, sheet: s, have: map[int]bool{}}
	place := filepath.Join(dir, sheetFile)
	old, err := os.ReadFile(place)
	switch {
	case err == nil && !bytes.Equal(old, s.Text):
		return nil, fmt.Errorf("%s: holds another experiment; name another folder", place)
	case errors.Is(err, os.ErrNotExist):
		if rest, _ := os.ReadDir(dir); len(rest) > 0 {
			return nil, fmt.Errorf("%s: is not empty and holds no experiment; name another folder", dir)
		}
		if err := os.WriteFile(place, s.Text, 0o644); err != nil {
			return nil, err
		}
	case err != nil:
		return nil, err
	}
	if err := f.mend(); err != nil {
		return nil, err
	}
	open := func(name string) (*os.File, error) {
		return os.OpenFile(filepath.Join(dir, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	}
	if f.rows, err = open(rowsFile); err != nil {
		return nil, err
	}
	if f.days, err = open(daysFile); err != nil {
		f.rows.Close()
		return nil, err
	}
	if st, err := f.rows.Stat(); err == nil && st.Size() == 0 {
		if err := f.line(f.rows, s.header()); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// mend drops what a broken end left behind, so that each file ends with a whole line and both know the same runs.
func (f *ResultFolder) mend() error {
	courses := map[int]bool{}
	for _, name := range []string{daysFile, rowsFile} {
		place := filepath.Join(f.dir, name)
		text, err := os.ReadFile(place)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		var kept bytes.Buffer
		for n := 0; len(text) > 0; n++ {
			end := bytes.IndexByte(text, '\n')
			if end < 0 {
				break
			}
			line := text[:end+1]
			text = text[end+1:]
			if name == daysFile {
				var c TimeSeries
				if json.Unmarshal(line, &c) != nil {
					break
				}
				courses[c.Run] = true
			} else if n > 0 {
				cells, err := csv.NewReader(bytes.NewReader(line)).Read()
				if err != nil || len(cells) != len(f.sheet.header()) {
					break
				}
				run, err := strconv.Atoi(cells[0])
				if err != nil || !courses[run] {
					break
				}
				f.have[run] = true
			}
			kept.Write(line)
		}
		if err := os.Truncate(place, int64(kept.Len())); err != nil {
			return err
		}
	}
	return nil
}

func (f *ResultFolder) line(w io.Writer, cells []string) error {
	var b bytes.Buffer
	c := csv.NewWriter(&b)
	c.Write(cells) // never fails on a buffer
	c.Flush()
	_, err := w.Write(b.Bytes()) // one write, so that a row is whole or cut at its end
	return err
}

// Missing are the runs that have no row yet.
func (f *ResultFolder) MissingRuns() []Run {
	var all []Run
	for _, r := range f.sheet.Runs() {
		if !f.have[r.Index] {
			all = append(all, r)
		}
	}
	return all
}

// Add writes a day: its course first, since a row says that the day is done.
func (f *ResultFolder) Add(d RunResult) error {
	c := TimeSeries{Run: d.Index, Asked: rounded(d.Account.OfferedBySecond), Served: rounded(d.Account.ServedBySecond), Plan: d.Plan}
	for i := range steps {
		c.Latency = append(c.Latency, d.Account.Quantile((float64(i)+0.5)/steps))
	}
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := f.days.Write(append(text, '\n')); err != nil {
		return err
	}
	if err := f.line(f.rows, f.sheet.row(&d)); err != nil {
		return err
	}
	f.have[d.Index] = true
	return nil
}

func rounded(all []float64) []float64 {
	out := make([]float64, len(all))
	for i, x := range all {
		out[i], _ = strconv.ParseFloat(strconv.FormatFloat(x, 'g', 6, 64), 64)
	}
	return out
}

// Close ends the writing.
func (f *ResultFolder) Close() error { return errors.Join(f.rows.Close(), f.days.Close()) }

// Fill plays what is missing. When the context ends the days under way are kept, and ctx.Err is given.
func (f *ResultFolder) RunMissing(ctx context.Context, cores int, told func(RunResult)) error {
	return f.sheet.RunAll(ctx, f.MissingRuns(), cores, func(d RunResult) error {
		if err := f.Add(d); err != nil {
			return err
		}
		told(d)
		return nil
	})
}

// Load reads a folder: its experiment and the rows that are whole.
func LoadResults(dir string) (*ExpandedExperiment, []Row, error) {
	s, err := ReadExperiment(filepath.Join(dir, sheetFile), nil)
	if err != nil {
		return nil, nil, err
	}
	place := filepath.Join(dir, rowsFile)
	text, err := os.ReadFile(place)
	if err != nil {
		return nil, nil, err
	}
	r := csv.NewReader(bytes.NewReader(text[:bytes.LastIndexByte(text, '\n')+1])) // a torn last line is no row
	head, err := r.Read()
	if err != nil {
		return nil, nil, fmt.Errorf("%s: line 1: %w", place, err)
	}
	want := s.header()
	if len(head) != len(want) {
		return nil, nil, fmt.Errorf("%s: line 1: has %d columns, the experiment has %d", place, len(head), len(want))
	}
	var rows []Row
	for n := 2; ; n++ {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			return s, rows, nil
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", place, err)
		}
		row := Row{Values: map[string]float64{}, Text: map[string]string{}}
		axes := len(s.Grid)
		row.Cell, row.Policy = cells[1:1+axes], cells[1+axes]
		if row.Run, err = strconv.Atoi(cells[0]); err != nil {
			return nil, nil, fmt.Errorf("%s: line %d: run %q is no number", place, n, cells[0])
		}
		if row.Seed, err = strconv.ParseUint(cells[2+axes], 10, 64); err != nil {
			return nil, nil, fmt.Errorf("%s: line %d: seed %q is no number", place, n, cells[2+axes])
		}
		for i, name := range head[3+axes:] {
			text := cells[3+axes+i]
			if v, err := strconv.ParseFloat(text, 64); err == nil && i < len(figures) {
				row.Values[name] = v
			} else {
				row.Text[name] = text
			}
		}
		rows = append(rows, row)
	}
}

// Courses reads the days' courses by run.
func LoadTimeSeries(dir string) (map[int]TimeSeries, error) {
	text, err := os.ReadFile(filepath.Join(dir, daysFile))
	if err != nil {
		return nil, err
	}
	all := map[int]TimeSeries{}
	for _, line := range bytes.Split(text, []byte("\n")) {
		var c TimeSeries
		if len(line) > 0 && json.Unmarshal(line, &c) == nil {
			all[c.Run] = c
		}
	}
	return all, nil
}
