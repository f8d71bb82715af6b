package control

import (
	"maps"
	"slices"
	"time"

	"sandpass/internal/revision"
)

// DisconnectedRetention is how long a FleetView retains a disconnected proxy.
const DisconnectedRetention = 24 * time.Hour

// ProxyStatus is the latest known status of one proxy. Replicas exchange it.
type ProxyStatus struct {
	Identity      revision.Identity        `json:"identity"`
	Replica       string                   `json:"replica"`            // the replica that the proxy watches, or watched last
	Connected     bool                     `json:"connected"`          // whether its watch is open
	UpdatedAt     time.Time                `json:"at"`                 // when it was recorded, by the clock of Replica
	HeldDocuments []revision.ScopeDocument `json:"held,omitempty"`     // revisions in force, without documents
	InForce       revision.Number          `json:"in_force"`           // the newest revision in force
	Checksum      string                   `json:"checksum,omitempty"` // of the configuration in force
	InForceSince  time.Time                `json:"since"`              // when InForce was first reported
	RefusedNumber revision.Number          `json:"refused,omitempty"`  // the last refused revision, 0 once a later one is in force
	RefusalReason string                   `json:"reason,omitempty"`   // why it was refused
}

// FleetView holds the status of all proxies that a replica knows. It is not safe for concurrent use.
type FleetView struct {
	proxies map[string]ProxyStatus
}

// NewFleetView returns an empty FleetView.
func NewFleetView() *FleetView { return &FleetView{proxies: map[string]ProxyStatus{}} }

// RecordWatchOpened records that a proxy opened a watch at a replica.
func (v *FleetView) RecordWatchOpened(now time.Time, replica string, hello revision.Hello) {
	v.recordStatus(now, replica, hello, nil)
}

// RecordReport records a report that a proxy sent to the replica that it watches. The hello describes what the proxy holds
// after the report (see Session.Hello).
func (v *FleetView) RecordReport(now time.Time, replica string, hello revision.Hello, report revision.Report) {
	v.recordStatus(now, replica, hello, &report)
}

// recordStatus replaces a proxy's status by what the proxy has just sent.
func (v *FleetView) recordStatus(now time.Time, replica string, hello revision.Hello, report *revision.Report) {
	previous := v.proxies[hello.Identity.Proxy]
	status := ProxyStatus{
		Identity:      hello.Identity,
		Replica:       replica,
		Connected:     true,
		UpdatedAt:     nextTimestamp(previous.UpdatedAt, now),
		HeldDocuments: numbersOnly(hello.Documents),
		InForce:       hello.Revision,
		Checksum:      hello.Checksum,
		InForceSince:  previous.InForceSince,
		RefusedNumber: previous.RefusedNumber,
		RefusalReason: previous.RefusalReason,
	}
	if previous.InForce != status.InForce || previous.InForceSince.IsZero() {
		status.InForceSince = status.UpdatedAt
	}
	switch {
	case report != nil && report.Verdict == revision.Refused:
		status.RefusedNumber, status.RefusalReason = report.Revision, report.Reason
	case report != nil && report.Verdict == revision.InForce:
		status.RefusedNumber, status.RefusalReason = 0, ""
	}
	v.proxies[hello.Identity.Proxy] = status
}

// numbersOnly returns the scopes and numbers without the documents.
func numbersOnly(documents []revision.ScopeDocument) []revision.ScopeDocument {
	var numbers []revision.ScopeDocument
	for _, document := range documents {
		numbers = append(numbers, revision.ScopeDocument{Scope: document.Scope, Number: document.Number})
	}
	return numbers
}

// nextTimestamp returns the current time, or the time just after the previous timestamp if another replica's clock is ahead.
func nextTimestamp(previous, now time.Time) time.Time {
	if now.After(previous) {
		return now.UTC().Round(0)
	}
	return previous.Add(time.Nanosecond)
}

// RecordWatchClosed records the end of a watch at a replica, unless the proxy has opened one at another replica since.
func (v *FleetView) RecordWatchClosed(now time.Time, replica, proxy string) {
	status, found := v.proxies[proxy]
	if !found || status.Replica != replica || !status.Connected {
		return
	}
	status.Connected = false
	status.UpdatedAt = nextTimestamp(status.UpdatedAt, now)
	v.proxies[proxy] = status
}

// RefreshConnected updates the timestamps of the open watches at a replica. They then take precedence over the
// disconnections that other replicas recorded while they did not receive anything from this replica.
func (v *FleetView) RefreshConnected(now time.Time, replica string) {
	for name, status := range v.proxies {
		if status.Replica == replica && status.Connected {
			status.UpdatedAt = nextTimestamp(status.UpdatedAt, now)
			v.proxies[name] = status
		}
	}
}

// Merge adopts the statuses of another replica that are newer than the known ones. It returns the adopted statuses.
func (v *FleetView) Merge(statuses []ProxyStatus) []ProxyStatus {
	var adopted []ProxyStatus
	for _, status := range statuses {
		known, exists := v.proxies[status.Identity.Proxy]
		if exists && !supersedes(status, known) {
			continue
		}
		if known.InForce == status.InForce && !known.InForceSince.IsZero() && known.InForceSince.Before(status.InForceSince) {
			status.InForceSince = known.InForceSince // the replica to which a proxy has moved does not know the original time
		}
		v.proxies[status.Identity.Proxy] = status
		adopted = append(adopted, status)
	}
	return adopted
}

// supersedes reports whether a status takes precedence over the known one. An open watch at one replica takes precedence
// over the end of a watch at another, because that replica may notice the end late. Otherwise the later status wins, then
// the one with the higher revision, then the one of the replica with the higher name.
func supersedes(status, known ProxyStatus) bool {
	if status.Replica != known.Replica && status.Connected != known.Connected {
		return status.Connected
	}
	if !status.UpdatedAt.Equal(known.UpdatedAt) {
		return status.UpdatedAt.After(known.UpdatedAt)
	}
	if status.InForce != known.InForce {
		return status.InForce > known.InForce
	}
	return status.Replica > known.Replica
}

// RecordReplicaLost records the end of all watches at a replica.
func (v *FleetView) RecordReplicaLost(now time.Time, replica string) {
	for name := range v.proxies {
		v.RecordWatchClosed(now, replica, name)
	}
}

// RemoveExpired removes proxies that have been disconnected for longer than DisconnectedRetention.
func (v *FleetView) RemoveExpired(now time.Time) {
	maps.DeleteFunc(v.proxies, func(_ string, status ProxyStatus) bool {
		return !status.Connected && now.Sub(status.UpdatedAt) > DisconnectedRetention
	})
}

// Status returns the status of one proxy.
func (v *FleetView) Status(name string) (ProxyStatus, bool) {
	status, found := v.proxies[name]
	return status, found
}

// Statuses returns all statuses, ordered by proxy name.
func (v *FleetView) Statuses() []ProxyStatus {
	statuses := make([]ProxyStatus, 0, len(v.proxies))
	for _, name := range slices.Sorted(maps.Keys(v.proxies)) {
		statuses = append(statuses, v.proxies[name])
	}
	return statuses
}

// CountConnectedAt returns the number of proxies with an open watch at a replica.
func (v *FleetView) CountConnectedAt(replica string) (count int) {
	for _, status := range v.proxies {
		if status.Connected && status.Replica == replica {
			count++
		}
	}
	return count
}

// ConnectedIdentities returns the proxies with an open watch, ordered by name.
func (v *FleetView) ConnectedIdentities() []revision.Identity {
	var identities []revision.Identity
	for _, status := range v.Statuses() {
		if status.Connected {
			identities = append(identities, status.Identity)
		}
	}
	return identities
}
