// This file owns what operators said of backends: who is left out, and when who was called back. It must never do I/O,
// nor know what discovery says: both are put together in settle.
package proxy

import "sandpass/balance"

// maintenance is what operators said, by the backend's name: targets come and go with the list.
type maintenance struct {
	Out  map[string]bool    `json:"out"`  // left out until the call back
	Back map[string]float64 `json:"back"` // when it was called back last
}

// leave has a backend left out; once or many times is the same.
func (m *maintenance) leave(name string) {
	if m.Out == nil {
		m.Out = map[string]bool{}
	}
	m.Out[name] = true
}

// call has it back, cold from now on: it was started anew meanwhile, whether the list tells that or not. One that was
// not left out stays as it is.
func (m *maintenance) call(name string, now float64) {
	if !m.Out[name] {
		return
	}
	delete(m.Out, name)
	if m.Back == nil {
		m.Back = map[string]float64{}
	}
	m.Back[name] = now
}

// forget gives up when backends were called back that are not listed any more.
func (m *maintenance) forget(listed func(name string) bool) {
	for name := range m.Back {
		if !listed(name) {
			delete(m.Back, name)
		}
	}
}

// over is what counts of a backend of which the list says this.
func (m *maintenance) over(name string, said balance.Entry) balance.Entry {
	if m.Out[name] && said.State == balance.Ready {
		said.State = balance.Draining
	}
	said.Started = max(said.Started, m.Back[name])
	return said
}
