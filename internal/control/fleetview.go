package control

import (
	"maps"
	"slices"
	"time"

	"sandpass/internal/revision"
)

// GoneKept is how long a proxy that has gone stays in a FleetView.
const DisconnectedRetention = 24 * time.Hour

// ProxyStatus is the newest that is known of one proxy. It travels from replica to replica.
type ProxyStatus struct {
	Identity      revision.Identity        `json:"identity"`
	Replica       string                   `json:"replica"`            // that it watches, or watched last
	Connected     bool                     `json:"connected"`          // its watch is open
	UpdatedAt     time.Time                `json:"at"`                 // when its replica learned this, by that replica's clock
	HeldDocuments []revision.ScopeDocument `json:"held,omitempty"`     // what is in force, numbers only
	InForce       revision.Number          `json:"in_force"`           // the newest number that came into force
	Checksum      string                   `json:"checksum,omitempty"` // of the configuration in force
	InForceSince  time.Time                `json:"since"`              // when this InForce was first reported
	RefusedNumber revision.Number          `json:"refused,omitempty"`  // the newest that it refused, 0 once a later one is in force
	RefusalReason string                   `json:"reason,omitempty"`   // why
}

// FleetView is what a replica knows of all proxies. It is not safe for concurrent use.
type FleetView struct {
	proxies map[string]ProxyStatus
}

// NewFleetView knows of no proxy.
func NewFleetView() *FleetView { return &FleetView{proxies: map[string]ProxyStatus{}} }

// Opened notes a new watch at a replica.
func (v *FleetView) RecordWatchOpened(now time.Time, replica string, hello revision.Hello) {
	v.note(now, replica, hello, nil)
}

// Reported notes a proxy's report at the replica that it watches; hello is what the proxy holds after it (Session.Hello).
func (v *FleetView) RecordReport(now time.Time, replica string, hello revision.Hello, report revision.Report) {
	v.note(now, replica, hello, &report)
}

// note puts what a proxy told just now in the place of what was known of it.
func (v *FleetView) note(now time.Time, replica string, hello revision.Hello, report *revision.Report) {
	known := v.proxies[hello.Identity.Proxy]
	status := ProxyStatus{
		Identity:      hello.Identity,
		Replica:       replica,
		Connected:     true,
		UpdatedAt:     after(known.UpdatedAt, now),
		HeldDocuments: numbersOnly(hello.Documents),
		InForce:       hello.Revision,
		Checksum:      hello.Checksum,
		InForceSince:  known.InForceSince,
		RefusedNumber: known.RefusedNumber,
		RefusalReason: known.RefusalReason,
	}
	if known.InForce != status.InForce || known.InForceSince.IsZero() {
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

// numbersOnly leaves the documents out.
func numbersOnly(held []revision.ScopeDocument) []revision.ScopeDocument {
	var numbers []revision.ScopeDocument
	for _, one := range held {
		numbers = append(numbers, revision.ScopeDocument{Scope: one.Scope, Number: one.Number})
	}
	return numbers
}

// after is now, or just after the time before it where another replica's clock is ahead.
func after(before, now time.Time) time.Time {
	if now.After(before) {
		return now.UTC().Round(0)
	}
	return before.Add(time.Nanosecond)
}

// Closed notes the end of a watch, unless the proxy has opened one elsewhere since.
func (v *FleetView) RecordWatchClosed(now time.Time, replica, proxy string) {
	status, known := v.proxies[proxy]
	if !known || status.Replica != replica || !status.Connected {
		return
	}
	status.Connected = false
	status.UpdatedAt = after(status.UpdatedAt, now)
	v.proxies[proxy] = status
}

// Confirm notes that the open watches at a replica are open now. What others took for their end meanwhile, as they did not
// hear of the replica, is then older.
func (v *FleetView) RefreshConnected(now time.Time, replica string) {
	for name, status := range v.proxies {
		if status.Replica == replica && status.Connected {
			status.UpdatedAt = after(status.UpdatedAt, now)
			v.proxies[name] = status
		}
	}
}

// Merge takes over what another replica knows: of each proxy the newest counts. It says which were news.
func (v *FleetView) Merge(statuses []ProxyStatus) []ProxyStatus {
	var news []ProxyStatus
	for _, status := range statuses {
		known, exists := v.proxies[status.Identity.Proxy]
		if exists && !supersedes(status, known) {
			continue
		}
		if known.InForce == status.InForce && !known.InForceSince.IsZero() && known.InForceSince.Before(status.InForceSince) {
			status.InForceSince = known.InForceSince // a replica that a proxy has just come to does not know since when
		}
		v.proxies[status.Identity.Proxy] = status
		news = append(news, status)
	}
	return news
}

// supersedes says whether one status is newer than another. An open watch at one replica counts more than the end of one
// at another: that replica notices it late. Between open ones the later counts, then the higher revision.
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

// ReplicaGone notes that the watches at a replica are over.
func (v *FleetView) RecordReplicaLost(now time.Time, replica string) {
	for name := range v.proxies {
		v.RecordWatchClosed(now, replica, name)
	}
}

// Forget drops proxies that have been gone for GoneKept.
func (v *FleetView) RemoveExpired(now time.Time) {
	maps.DeleteFunc(v.proxies, func(_ string, status ProxyStatus) bool {
		return !status.Connected && now.Sub(status.UpdatedAt) > DisconnectedRetention
	})
}

// Proxy gives what is known of one proxy.
func (v *FleetView) Status(name string) (ProxyStatus, bool) {
	status, known := v.proxies[name]
	return status, known
}

// All gives what is known, ordered by the proxies' names.
func (v *FleetView) Statuses() []ProxyStatus {
	all := make([]ProxyStatus, 0, len(v.proxies))
	for _, name := range slices.Sorted(maps.Keys(v.proxies)) {
		all = append(all, v.proxies[name])
	}
	return all
}

// ConnectedAt counts the proxies whose watch at a replica is open.
func (v *FleetView) CountConnectedAt(replica string) (count int) {
	for _, status := range v.proxies {
		if status.Connected && status.Replica == replica {
			count++
		}
	}
	return count
}

// Connected gives the proxies whose watch is open, ordered by name.
func (v *FleetView) ConnectedIdentities() []revision.Identity {
	var identities []revision.Identity
	for _, status := range v.Statuses() {
		if status.Connected {
			identities = append(identities, status.Identity)
		}
	}
	return identities
}
