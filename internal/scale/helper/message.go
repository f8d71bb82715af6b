// Package helper has the processes that a scale run starts of its own program: discovery's stand-in, and hollow proxies by
// the hundred.
//
// A helper reads requests from its standard input, a JSON object each, and answers each on its standard output. It ends
// when its input does, so that none outlives the run, however that ends.
package helper

import (
	"encoding/json"

	"sandpass/internal/scale/meter"
	"sandpass/internal/scale/standin"
)

// RoleEnv is the environment variable that makes a program which calls Run a helper.
const RoleEnv = "SANDLAB_SCALE_ROLE"

// Role is what a helper is.
type Role string

// The roles.
const (
	Discovery Role = "discovery"
	InProcess Role = "hollow"
)

// Request is one order; exactly one field is set.
type Request struct {
	Discover         *Discover `json:"discover,omitempty"`
	Change           *Change   `json:"change,omitempty"`
	Silence          *Silence  `json:"silence,omitempty"`
	CloseConnections []int     `json:"break,omitempty"`   // agents whose connections are closed
	Traffic          bool      `json:"traffic,omitempty"` // of each agent
	Start            *Start    `json:"start,omitempty"`
	Reload           *Reload   `json:"reload,omitempty"`
	AppliedSince     *int      `json:"taken_over,omitempty"` // asks when configurations came into force, but for the first so many
	Stop             []int     `json:"stop,omitempty"`       // hollow proxies that are ended
	FreeMemory       bool      `json:"collect,omitempty"`    // garbage, so that memory can be compared
}

// Discover starts discovery's agents.
type Discover struct {
	Lists  [][]standin.Endpoint `json:"lists"`
	Agents []Agent              `json:"agents"`
}

// Agent is one machine's.
type Agent struct {
	Address string `json:"address"`
	List    int    `json:"list"`
}

// Change adds entries to lists.
type Change struct {
	Lists     []int              `json:"lists"`
	Endpoints []standin.Endpoint `json:"endpoints"`
}

// Silence has agents say nothing, heartbeats included, or speak again.
type Silence struct {
	Agents []int `json:"agents"`
	Silent bool  `json:"on"`
}

// Start starts hollow proxies by their configurations; their numbers go on from those before.
type Start struct {
	Configs       []json.RawMessage `json:"launches"`
	OperatorFiles []string          `json:"operators,omitempty"` // paths of the operators' files, none or one for each
	SeedDefect    bool              `json:"idle,omitempty"`      // a seeded defect for tests: it never asks discovery
}

// Reload has hollow proxies turn to other configurations.
type Reload struct {
	Proxies []int             `json:"proxies"`
	Configs []json.RawMessage `json:"launches"`
}

// Answer is what comes back.
type Response struct {
	Error       string          `json:"error,omitempty"`
	Traffic     []meter.Traffic `json:"traffic,omitempty"`
	OpenWatches []int           `json:"watching,omitempty"`
	AppliedAt   []float64       `json:"in_force,omitempty"` // Unix times at which configurations came into force, seconds
}
