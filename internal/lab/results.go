// This file implements the result folder: the experiment's text, one row for each run, and each run's time series. Written
// rows stay readable whatever happens later.

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
	experimentFile     = "experiment.toml"
	rowsFile           = "rows.csv"
	timeSeriesFile     = "days.jsonl"
	summaryFile        = "summary.md"
	latencyCurvePoints = 200 // quantiles stored for each run
)

// TimeSeries holds the data of a run that is stored beside its row, for charts. Its field names are the keys of the stored
// JSON.
type TimeSeries struct {
	Run     int
	Asked   []float64
	Served  []float64
	Latency []float64 // seconds, at evenly spaced quantiles of the answered operations
	Plan    faults.Plan
}

// Row is one row of the result table: the metrics by name in Values, the other columns in Text.
type Row struct {
	Run    int
	Cell   []string
	Policy string
	Seed   uint64
	Values map[string]float64
	Text   map[string]string
}

// ResultFolder stores the results of one experiment.
type ResultFolder struct {
	dir              string
	experiment       *ExpandedExperiment
	rows, timeSeries *os.File
	done             map[int]bool
}

// OpenResultFolder opens the result folder of an experiment, or creates it, and finds the runs that are complete. It rejects a
// folder that holds another experiment or other files.
func OpenResultFolder(dir string, s *ExpandedExperiment) (*ResultFolder, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	f := &ResultFolder{dir: dir, experiment: s, done: map[int]bool{}}
	path := filepath.Join(dir, experimentFile)
	old, err := os.ReadFile(path)
	switch {
	case err == nil && !bytes.Equal(old, s.Text):
		return nil, fmt.Errorf("%s: holds another experiment; choose another folder", path)
	case errors.Is(err, os.ErrNotExist):
		if rest, _ := os.ReadDir(dir); len(rest) > 0 {
			return nil, fmt.Errorf("%s: is not empty and holds no experiment; choose another folder", dir)
		}
		if err := os.WriteFile(path, s.Text, 0o644); err != nil {
			return nil, err
		}
	case err != nil:
		return nil, err
	}
	if err := f.repair(); err != nil {
		return nil, err
	}
	open := func(name string) (*os.File, error) {
		return os.OpenFile(filepath.Join(dir, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	}
	if f.rows, err = open(rowsFile); err != nil {
		return nil, err
	}
	if f.timeSeries, err = open(timeSeriesFile); err != nil {
		f.rows.Close()
		return nil, err
	}
	if st, err := f.rows.Stat(); err == nil && st.Size() == 0 {
		if err := f.writeLine(f.rows, s.header()); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// repair truncates what an interrupted write left behind, so that each file ends with a complete line and each row has its
// time series.
func (f *ResultFolder) repair() error {
	haveSeries := map[int]bool{}
	for _, name := range []string{timeSeriesFile, rowsFile} {
		path := filepath.Join(f.dir, name)
		text, err := os.ReadFile(path)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		var complete bytes.Buffer
		for n := 0; len(text) > 0; n++ {
			end := bytes.IndexByte(text, '\n')
			if end < 0 {
				break
			}
			line := text[:end+1]
			text = text[end+1:]
			if name == timeSeriesFile {
				var series TimeSeries
				if json.Unmarshal(line, &series) != nil {
					break
				}
				haveSeries[series.Run] = true
			} else if n > 0 {
				cells, err := csv.NewReader(bytes.NewReader(line)).Read()
				if err != nil || len(cells) != len(f.experiment.header()) {
					break
				}
				run, err := strconv.Atoi(cells[0])
				if err != nil || !haveSeries[run] {
					break
				}
				f.done[run] = true
			}
			complete.Write(line)
		}
		if err := os.Truncate(path, int64(complete.Len())); err != nil {
			return err
		}
	}
	return nil
}

// writeLine writes one CSV row.
func (f *ResultFolder) writeLine(w io.Writer, cells []string) error {
	var b bytes.Buffer
	c := csv.NewWriter(&b)
	c.Write(cells) // a write to a buffer cannot fail
	c.Flush()
	_, err := w.Write(b.Bytes()) // a single write, so that a row is complete or truncated at its end
	return err
}

// MissingRuns returns the runs that have no row yet.
func (f *ResultFolder) MissingRuns() []Run {
	var all []Run
	for _, r := range f.experiment.Runs() {
		if !f.done[r.Index] {
			all = append(all, r)
		}
	}
	return all
}

// Add stores a run. It writes the time series first, since the row marks the run as complete.
func (f *ResultFolder) Add(d RunResult) error {
	series := TimeSeries{Run: d.Index, Asked: roundAll(d.Report.OfferedBySecond),
		Served: roundAll(d.Report.ServedBySecond), Plan: d.Plan}
	for i := range latencyCurvePoints {
		series.Latency = append(series.Latency, d.Report.Quantile((float64(i)+0.5)/latencyCurvePoints))
	}
	text, err := json.Marshal(series)
	if err != nil {
		return err
	}
	if _, err := f.timeSeries.Write(append(text, '\n')); err != nil {
		return err
	}
	if err := f.writeLine(f.rows, f.experiment.row(&d)); err != nil {
		return err
	}
	f.done[d.Index] = true
	return nil
}

// roundAll rounds values to six significant digits.
func roundAll(all []float64) []float64 {
	out := make([]float64, len(all))
	for i, x := range all {
		out[i], _ = strconv.ParseFloat(strconv.FormatFloat(x, 'g', 6, 64), 64)
	}
	return out
}

// Close closes the result files.
func (f *ResultFolder) Close() error { return errors.Join(f.rows.Close(), f.timeSeries.Close()) }

// RunMissing executes and stores the missing runs. When the context ends, runs in progress are still stored and ctx.Err is
// returned.
func (f *ResultFolder) RunMissing(ctx context.Context, cores int, progress func(RunResult)) error {
	return f.experiment.RunAll(ctx, f.MissingRuns(), cores, func(d RunResult) error {
		if err := f.Add(d); err != nil {
			return err
		}
		progress(d)
		return nil
	})
}

// LoadResults reads the experiment and the complete rows of a result folder.
func LoadResults(dir string) (*ExpandedExperiment, []Row, error) {
	s, err := ReadExperiment(filepath.Join(dir, experimentFile), nil)
	if err != nil {
		return nil, nil, err
	}
	path := filepath.Join(dir, rowsFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	r := csv.NewReader(bytes.NewReader(text[:bytes.LastIndexByte(text, '\n')+1])) // drops an incomplete last line
	head, err := r.Read()
	if err != nil {
		return nil, nil, fmt.Errorf("%s: line 1: %w", path, err)
	}
	want := s.header()
	if len(head) != len(want) {
		return nil, nil, fmt.Errorf("%s: line 1: has %d columns, the experiment has %d", path, len(head), len(want))
	}
	var rows []Row
	for n := 2; ; n++ {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			return s, rows, nil
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", path, err)
		}
		row := Row{Values: map[string]float64{}, Text: map[string]string{}}
		axes := len(s.Grid)
		row.Cell, row.Policy = cells[1:1+axes], cells[1+axes]
		if row.Run, err = strconv.Atoi(cells[0]); err != nil {
			return nil, nil, fmt.Errorf("%s: line %d: run %q is not a number", path, n, cells[0])
		}
		if row.Seed, err = strconv.ParseUint(cells[2+axes], 10, 64); err != nil {
			return nil, nil, fmt.Errorf("%s: line %d: seed %q is not a number", path, n, cells[2+axes])
		}
		for i, name := range head[3+axes:] {
			text := cells[3+axes+i]
			if v, err := strconv.ParseFloat(text, 64); err == nil && i < len(metrics) {
				row.Values[name] = v
			} else {
				row.Text[name] = text
			}
		}
		rows = append(rows, row)
	}
}

// LoadTimeSeries reads the time series of a result folder by run. Incomplete lines are ignored.
func LoadTimeSeries(dir string) (map[int]TimeSeries, error) {
	text, err := os.ReadFile(filepath.Join(dir, timeSeriesFile))
	if err != nil {
		return nil, err
	}
	all := map[int]TimeSeries{}
	for _, line := range bytes.Split(text, []byte("\n")) {
		var series TimeSeries
		if len(line) > 0 && json.Unmarshal(line, &series) == nil {
			all[series.Run] = series
		}
	}
	return all, nil
}
