// This file owns which backends operators have cordoned, and when each was uncordoned. It must never do I/O, nor know what
// discovery lists: both are combined in applyMaintenance.
package proxy

import "sandpass/balance"

// maintenance is what operators asked for, by the backend's name: targets come and go with the list.
type maintenance struct {
	Out  map[string]bool    `json:"out"`  // cordoned
	Back map[string]float64 `json:"back"` // when each was uncordoned last
}

// cordon notes a backend; once or many times is the same.
func (m *maintenance) cordon(name string) {
	if m.Out == nil {
		m.Out = map[string]bool{}
	}
	m.Out[name] = true
}

// uncordon has it back, warming up from now on: it was restarted meanwhile, whether the list says so or not. One that was
// not cordoned stays as it is.
func (m *maintenance) uncordon(name string, now float64) {
	if !m.Out[name] {
		return
	}
	delete(m.Out, name)
	if m.Back == nil {
		m.Back = map[string]float64{}
	}
	m.Back[name] = now
}

// forget drops the times of backends that are not listed any more.
func (m *maintenance) forget(listed func(name string) bool) {
	for name := range m.Back {
		if !listed(name) {
			delete(m.Back, name)
		}
	}
}

// applyTo gives the entry that counts for a backend from the listed one.
func (m *maintenance) applyTo(name string, listed balance.Entry) balance.Entry {
	if m.Out[name] && listed.State == balance.Ready {
		listed.State = balance.Draining
	}
	listed.Started = max(listed.Started, m.Back[name])
	return listed
}
