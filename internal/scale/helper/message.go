// Package helper provides the helper processes that a scale run starts from its own program: the discovery stand-in, and
// processes that run hundreds of proxies each.
//
// A helper reads requests from its standard input, each a JSON object, and writes the responses to its standard output. It
// ends when its input is closed, so that no helper outlives the run, however the run ends.
package helper

import (
	"encoding/json"

	"sandpass/internal/scale/meter"
	"sandpass/internal/scale/standin"
)

// RoleEnv is the environment variable with the role of the helper. Run returns without effect where it is not set.
const RoleEnv = "SANDLAB_SCALE_ROLE"

// Role selects what a helper process does.
type Role string

// The roles.
const (
	Discovery Role = "discovery"
	InProcess Role = "hollow"
)

// Request is one request to a helper. Exactly one field is set.
type Request struct {
	Discover         *Discover `json:"discover,omitempty"`
	Change           *Change   `json:"change,omitempty"`
	Silence          *Silence  `json:"silence,omitempty"`
	CloseConnections []int     `json:"break,omitempty"`   // closes the connections of these agents
	Traffic          bool      `json:"traffic,omitempty"` // reports the traffic of each agent
	Start            *Start    `json:"start,omitempty"`
	Reload           *Reload   `json:"reload,omitempty"`
	AppliedSince     *int      `json:"taken_over,omitempty"` // reports when configurations came into force, but the first n
	Stop             []int     `json:"stop,omitempty"`       // stops these in-process proxies
	FreeMemory       bool      `json:"collect,omitempty"`    // returns free memory to the system, so that memory can be compared
}

// Discover starts the discovery agents.
type Discover struct {
	Lists  [][]standin.Endpoint `json:"lists"`
	Agents []Agent              `json:"agents"`
}

// Agent is the discovery agent of one machine: its address and the list that it serves.
type Agent struct {
	Address string `json:"address"`
	List    int    `json:"list"`
}

// Change adds entries to lists.
type Change struct {
	Lists     []int              `json:"lists"`
	Endpoints []standin.Endpoint `json:"endpoints"`
}

// Silence makes agents stop sending, heartbeats included, or start again.
type Silence struct {
	Agents []int `json:"agents"`
	Silent bool  `json:"on"`
}

// Start starts in-process proxies. They are numbered from 0 in the order in which the helper starts them.
type Start struct {
	Configs       []json.RawMessage `json:"launches"`
	OperatorFiles []string          `json:"operators,omitempty"` // paths of the operator files: none, or one for each configuration
	SeedDefect    bool              `json:"idle,omitempty"`      // for tests: the proxies do not run and never contact discovery
}

// Reload gives in-process proxies new configurations.
type Reload struct {
	Proxies []int             `json:"proxies"`
	Configs []json.RawMessage `json:"launches"`
}

// Response is the response to a request.
type Response struct {
	Error       string          `json:"error,omitempty"`
	Traffic     []meter.Traffic `json:"traffic,omitempty"`
	OpenWatches []int           `json:"watching,omitempty"`
	AppliedAt   []float64       `json:"in_force,omitempty"` // Unix times in seconds at which configurations came into force
}
