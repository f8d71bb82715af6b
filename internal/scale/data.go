package scale

import (
	"encoding/json"
	"fmt"
	"os"

	"sandpass/internal/scale/fit"
	"sandpass/internal/scale/fleet"
)

// The roles whose resource use is measured, under their names in the data file and on the page.
const (
	roleProxy     = "proxy"
	roleInProcess = "hollow proxy"
	roleDiscovery = "discovery's agents"
	roleControl   = "control machine"
	roleLeader    = "control leader"
	roleFollower  = "control follower"
)

// Variable names the quantity that is varied in a series of measurements.
type Variable string

// The quantities that are varied.
const (
	ByProxies    Variable = "proxies"
	ByBackends   Variable = "backends"
	ByServices   Variable = "services"
	ByCallRate   Variable = "calls"
	ByChangeRate Variable = "changes"
	BySiblings   Variable = "siblings"
)

// Series is a figure measured at several values of a variable, and the growth model fitted to it.
type Series struct {
	Role      string      `json:"role"`
	Figure    string      `json:"figure"`
	Unit      string      `json:"unit"`
	Variable  Variable    `json:"against"`
	Setting   string      `json:"setting"`
	Points    []fit.Point `json:"points"`
	Fit       fit.Fit     `json:"fit"`
	Predicted *Prediction `json:"predicted,omitempty"`
}

// Prediction is the predicted and the measured value at a size that was left out of the fit.
type Prediction struct {
	N         float64 `json:"n"`
	Predicted float64 `json:"predicted"`
	Measured  float64 `json:"measured"`
}

// Error returns the relative error of the prediction, 0 if the measured value is 0.
func (p Prediction) Error() float64 {
	if p.Measured == 0 {
		return 0
	}
	return p.Predicted/p.Measured - 1
}

// Event is the measurement of one event in a fleet of the given size, such as a configuration change or a lost zone.
type Event struct {
	Name           string     `json:"name"`
	Proxies        int        `json:"proxies"`
	Setting        string     `json:"setting"`
	InForce        *Quantiles `json:"in_force,omitempty"` // seconds until a change was in force at each proxy
	SettledSeconds float64    `json:"settled"`            // seconds until the fleet was back to normal
	Connections    int        `json:"connections"`        // connections that were opened again
	Peaks          []Peak     `json:"peaks"`              // by role
	LoadAverage    float64    `json:"load"`               // load average of the machine at the end: timings depend on it
	Note           string     `json:"note,omitempty"`
}

// Quantiles are the quantiles of a set of values.
type Quantiles struct {
	Values int     `json:"values"`
	Median float64 `json:"median"`
	P99    float64 `json:"most_99"`
	Max    float64 `json:"last"`
}

// quantiles returns the quantiles of values.
func quantiles(values []float64) *Quantiles {
	q := &Quantiles{Values: len(values)}
	q.Median, q.P99, q.Max = fit.Quantiles(values)
	return q
}

// Peak is the highest resource use of a role in any second of an event.
type Peak struct {
	Role       string  `json:"role"`
	CPU        float64 `json:"cpu"`              // share of a core, the mean over the processes of the role
	BytesIn    float64 `json:"bytes_in"`         // per second, of the busiest process
	BytesOut   float64 `json:"bytes_out"`        // per second, of the busiest process
	Memory     float64 `json:"memory,omitempty"` // bytes, of the largest process; control machines only
	TotalBytes float64 `json:"total"`            // in the whole event, both directions, of the busiest process
}

// Comparison compares the mean traffic of one kind between proxies in processes of their own (real) and in-process proxies
// (hollow in the data file and on the page).
type Comparison struct {
	Kind      string  `json:"kind"`
	Real      float64 `json:"real"`
	InProcess float64 `json:"hollow"`
}

// RelativeDifference returns by how much the in-process proxies differ, relative to the real ones.
func (c Comparison) RelativeDifference() float64 {
	if c.Real == c.InProcess {
		return 0
	}
	return c.InProcess/c.Real - 1
}

// AddedLatency is the latency that a proxy, or a chain of proxies, adds to calls.
type AddedLatency struct {
	Name        string     `json:"name"`
	Rate        float64    `json:"rate"` // calls per second, open loop
	Rounds      int        `json:"rounds"`
	Calls       int        `json:"calls"`
	Direct      [3]float64 `json:"straight"` // seconds at p50, p99 and p99.9, each the median over the rounds
	Proxied     [3]float64 `json:"through"`
	MinAdded    [3]float64 `json:"least"` // minimum and maximum over the rounds of what was added
	MaxAdded    [3]float64 `json:"most"`
	Failed      int        `json:"failed"`
	LoadAverage float64    `json:"load"`
}

// Data is the content of a data file: the results of a scale run.
type Data struct {
	Program      string         `json:"program"` // version of the program that measured
	Cores        int            `json:"cores"`
	Sizes        fleet.Sizes    `json:"sizes"`
	Comparisons  []Comparison   `json:"likeness"`
	Series       []Series       `json:"series"`
	Events       []Event        `json:"events"`
	AddedLatency []AddedLatency `json:"added"`
}

// ReadData reads a data file.
func ReadData(path string) (*Data, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var d Data
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &d, nil
}

// Write replaces the data file atomically.
func (d *Data) Write(path string) error {
	text, err := json.MarshalIndent(d, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// findSeries returns the series of a figure, nil if there is none.
func (d *Data) findSeries(role, figure string, against Variable, setting string) *Series {
	for i, s := range d.Series {
		if s.Role == role && s.Figure == figure && s.Variable == against && s.Setting == setting {
			return &d.Series[i]
		}
	}
	return nil
}

// replaceSeries adds series, each in place of an earlier one of the same figure.
func (d *Data) replaceSeries(series []Series) {
	for _, s := range series {
		if old := d.findSeries(s.Role, s.Figure, s.Variable, s.Setting); old != nil {
			*old = s
		} else {
			d.Series = append(d.Series, s)
		}
	}
}

// replaceEvent adds an event, in place of an earlier one with the same name, setting and number of proxies.
func (d *Data) replaceEvent(e Event) {
	for i, old := range d.Events {
		if old.Name == e.Name && old.Setting == e.Setting && old.Proxies == e.Proxies {
			d.Events[i] = e
			return
		}
	}
	d.Events = append(d.Events, e)
}

// replaceAdded adds a latency measurement, in place of an earlier one with the same name and rate.
func (d *Data) replaceAdded(a AddedLatency) {
	for i, old := range d.AddedLatency {
		if old.Name == a.Name && old.Rate == a.Rate {
			d.AddedLatency[i] = a
			return
		}
	}
	d.AddedLatency = append(d.AddedLatency, a)
}
