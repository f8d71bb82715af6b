// This file records which backends operators have cordoned and when each was uncordoned. It does no I/O and doesn't
// know the endpoint list: applyMaintenance combines the two.

package proxy

import "sandpass/balance"

// maintenance holds the operators' requests by backend name, since the backends themselves come and go with the list.
type maintenance struct {
	Cordoned   map[string]bool    `json:"out"`
	Uncordoned map[string]float64 `json:"back"` // when each was last uncordoned, by the loop's clock
}

// cordon marks a backend as cordoned. It is idempotent.
func (m *maintenance) cordon(name string) {
	if m.Cordoned == nil {
		m.Cordoned = map[string]bool{}
	}
	m.Cordoned[name] = true
}

// uncordon clears the mark and lets the backend warm up from now on: it was restarted meanwhile, whether the list
// says so or not. A backend that is not cordoned is left unchanged.
func (m *maintenance) uncordon(name string, now float64) {
	if !m.Cordoned[name] {
		return
	}
	delete(m.Cordoned, name)
	if m.Uncordoned == nil {
		m.Uncordoned = map[string]float64{}
	}
	m.Uncordoned[name] = now
}

// forget deletes the uncordon times of backends that are no longer listed.
func (m *maintenance) forget(listed func(name string) bool) {
	for name := range m.Uncordoned {
		if !listed(name) {
			delete(m.Uncordoned, name)
		}
	}
}

// applyTo returns a backend's effective entry for the listed one.
func (m *maintenance) applyTo(name string, listed balance.Entry) balance.Entry {
	if m.Cordoned[name] && listed.State == balance.Ready {
		listed.State = balance.Draining
	}
	listed.StartedAt = max(listed.StartedAt, m.Uncordoned[name])
	return listed
}
