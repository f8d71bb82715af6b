package control

// Pacer bounds the bytes a second of whole configurations that a replica sends.
type Pacer struct{}

// NewPacer allows so many bytes a second, and so many at once after a pause.
func NewPacer(rate, burst float64) *Pacer { panic("not written") }

// Take says whether so many bytes may be sent now, in seconds of any steady clock, and counts them if so. It lets a
// message larger than the burst through on a full bucket and has later ones wait for it.
func (p *Pacer) Take(now float64, bytes int) bool { panic("not written") }

// Next is the earliest time at which Take says yes.
func (p *Pacer) Next(now float64) float64 { panic("not written") }
