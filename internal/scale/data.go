package scale

import (
	"encoding/json"
	"fmt"
	"os"

	"sandpass/internal/scale/fit"
	"sandpass/internal/scale/fleet"
)

// The roles whose use is measured.
const (
	roleProxy     = "proxy"
	roleInProcess = "hollow proxy"
	roleDiscovery = "discovery's agents"
	roleControl   = "control machine"
	roleLeader    = "control leader"
	roleFollower  = "control follower"
)

// Against names what a figure is measured against.
type Variable string

// What figures are measured against.
const (
	ByProxies    Variable = "proxies"
	ByBackends   Variable = "backends"
	ByServices   Variable = "services"
	ByCallRate   Variable = "calls"
	ByChangeRate Variable = "changes"
	BySiblings   Variable = "siblings"
)

// Series is a figure measured at several sizes, and the law that was fitted to them.
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

// Prediction is what the fit gave for a size beyond those fitted, beside what was measured there.
type Prediction struct {
	N         float64 `json:"n"`
	Predicted float64 `json:"predicted"`
	Measured  float64 `json:"measured"`
}

// Error is by which part of the measured value the prediction is off.
func (p Prediction) Error() float64 {
	if p.Measured == 0 {
		return 0
	}
	return p.Predicted/p.Measured - 1
}

// Event is something that happens to the fleet at its size.
type Event struct {
	Name           string     `json:"name"`
	Proxies        int        `json:"proxies"`
	Setting        string     `json:"setting"`
	InForce        *Quantiles `json:"in_force,omitempty"` // seconds until a change was in force at each proxy
	SettledSeconds float64    `json:"settled"`            // seconds until all was as usual
	Connections    int        `json:"connections"`        // opened anew
	Peaks          []Peak     `json:"peaks"`              // by role
	LoadAverage    float64    `json:"load"`               // the machine's load average at the end: timings go by it
	Note           string     `json:"note,omitempty"`
}

// Quantiles of some values.
type Quantiles struct {
	Values int     `json:"values"`
	Median float64 `json:"median"`
	P99    float64 `json:"most_99"`
	Max    float64 `json:"last"`
}

func quantiles(values []float64) *Quantiles {
	q := &Quantiles{Values: len(values)}
	q.Median, q.P99, q.Max = fit.Quantiles(values)
	return q
}

// Peak is the most that a role used in one second of an event.
type Peak struct {
	Role       string  `json:"role"`
	CPU        float64 `json:"cpu"`              // part of a core; of several processes the mean
	BytesIn    float64 `json:"bytes_in"`         // of the busiest one, in a second
	BytesOut   float64 `json:"bytes_out"`        // the same
	Memory     float64 `json:"memory,omitempty"` // bytes, of the largest one; of control machines only
	TotalBytes float64 `json:"total"`            // bytes in the whole event, of the busiest one, both ways
}

// Likeness is a kind of traffic of hollow proxies beside that of real ones.
type Comparison struct {
	Kind      string  `json:"kind"`
	Real      float64 `json:"real"`
	InProcess float64 `json:"hollow"`
}

// Off is by which part the hollow ones' differs.
func (l Comparison) RelativeDifference() float64 {
	if l.Real == l.InProcess {
		return 0
	}
	return l.InProcess/l.Real - 1
}

// Added is what a proxy, or a chain of them, adds to calls.
type AddedLatency struct {
	Name        string     `json:"name"`
	Rate        float64    `json:"rate"` // calls a second, open loop
	Rounds      int        `json:"rounds"`
	Calls       int        `json:"calls"`
	Direct      [3]float64 `json:"straight"` // seconds: median, 99 in 100, 99.9 in 100; the median over the rounds
	Proxied     [3]float64 `json:"through"`
	MinAdded    [3]float64 `json:"least"` // least and most that was added in a round
	MaxAdded    [3]float64 `json:"most"`
	Failed      int        `json:"failed"`
	LoadAverage float64    `json:"load"`
}

// Data is what a scale run has measured.
type Data struct {
	Program      string         `json:"program"` // version of the program
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

// Write puts the data file in place whole.
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

// find is the series of a figure.
func (d *Data) findSeries(role, figure string, against Variable, setting string) *Series {
	for i, s := range d.Series {
		if s.Role == role && s.Figure == figure && s.Variable == against && s.Setting == setting {
			return &d.Series[i]
		}
	}
	return nil
}

// replaceSeries puts series in place of those of the same figures.
func (d *Data) replaceSeries(series []Series) {
	for _, s := range series {
		if old := d.findSeries(s.Role, s.Figure, s.Variable, s.Setting); old != nil {
			*old = s
		} else {
			d.Series = append(d.Series, s)
		}
	}
}

// replaceEvent puts an event in place of the one of the same name and setting.
func (d *Data) replaceEvent(e Event) {
	for i, old := range d.Events {
		if old.Name == e.Name && old.Setting == e.Setting && old.Proxies == e.Proxies {
			d.Events[i] = e
			return
		}
	}
	d.Events = append(d.Events, e)
}

// replaceAdded puts a measure in place of the one of the same name and rate.
func (d *Data) replaceAdded(a AddedLatency) {
	for i, old := range d.AddedLatency {
		if old.Name == a.Name && old.Rate == a.Rate {
			d.AddedLatency[i] = a
			return
		}
	}
	d.AddedLatency = append(d.AddedLatency, a)
}
