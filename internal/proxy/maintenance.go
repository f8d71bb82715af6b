// This file owns which backends operators have cordoned, and when each was uncordoned. It must never do I/O, nor know what
// discovery lists: both are combined in applyMaintenance.
package proxy

import "sandpass/balance"

// maintenance is what operators asked for, by the backend's name: targets come and go with the list.
type maintenance struct {
	Cordoned   map[string]bool    `json:"out"`  // cordoned
	Uncordoned map[string]float64 `json:"back"` // when each was uncordoned last
}

// cordon notes a backend; once or many times is the same.
func (m *maintenance) cordon(name string) {
	if m.Cordoned == nil {
		m.Cordoned = map[string]bool{}
	}
	m.Cordoned[name] = true
}

// uncordon has it back, warming up from now on: it was restarted meanwhile, whether the list says so or not. One that was
// not cordoned stays as it is.
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

// forget drops the times of backends that are not listed any more.
func (m *maintenance) forget(listed func(name string) bool) {
	for name := range m.Uncordoned {
		if !listed(name) {
			delete(m.Uncordoned, name)
		}
	}
}

// applyTo gives the entry that counts for a backend from the listed one.
func (m *maintenance) applyTo(name string, listed balance.Entry) balance.Entry {
	if m.Cordoned[name] && listed.State == balance.Ready {
		listed.State = balance.Draining
	}
	listed.StartedAt = max(listed.StartedAt, m.Uncordoned[name])
	return listed
}
