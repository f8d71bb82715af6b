// The order of events. Nothing here may depend on what an event means.

package emulator

// eventKind is the kind of an event. At equal times lower kinds come first, and events of one kind come in the order in
// which they were scheduled: faults before what they affect, answers before the limits that they meet, and limits before
// what clients do next.
type eventKind uint8

const (
	onFault     eventKind = iota // number: of the fault; argument: 1 at its start, 0 at its end, 2 while it changes
	onCallback                   // number: of the callback
	onUpdate                     // number: of the instance
	onRefresh                    // number: of the backend
	onFinish                     // number: of the backend
	onConnect                    // relay: its new connection reaches the backend
	onArrive                     // relay: reaches its backend
	onAnswer                     // relay: its outcome reaches its instance; generation 1: it was cancelled
	onCallEnded                  // relay: a call of its work has ended; number: of the call; argument: 1 if answered
	onCancel                     // relay: its cancellation reaches its backend
	onMessage                    // number: of the message
	onTimer                      // number: token; argument: instance
	onLimit                      // number: id of the command
	onAccept                     // operation: a try reaches its instance; argument: instance
	onReply                      // operation: a reply reaches the client; argument: replyKind; number: retry delay in ms
	onGiveUp                     // operation: the client gives up; argument: 1 if it disconnects
	onTry                        // operation: the client sends a try
	onIdle                       // argument: instance; number: backend
	onArrival                    // number: of the zone
)

// event is a scheduled event. An operation may have started another try since; generation is the try that is meant.
type event struct {
	at         float64
	order      uint64 // the kind in the highest 8 bits, then a counter
	number     uint64
	relay      *relay
	operation  *operation
	argument   int32
	generation uint32
}

// kind returns the event's kind.
func (e *event) kind() eventKind { return eventKind(e.order >> 56) }

// before tells whether the event comes before another one.
func (e *event) before(f *event) bool { return e.at < f.at || e.at == f.at && e.order < f.order }

// eventQueue is a heap with four children per node: it is half as deep as a binary heap, and most children of a node share
// a cache line.
type eventQueue struct {
	events []event
	pushed uint64
}

// push schedules an event of a kind.
func (q *eventQueue) push(k eventKind, e event) {
	q.pushed++
	e.order = uint64(k)<<56 | q.pushed
	q.events = append(q.events, e)
	i := len(q.events) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&q.events[up]) {
			break
		}
		q.events[i] = q.events[up]
		i = up
	}
	q.events[i] = e
}

// pop removes and returns the first event.
func (q *eventQueue) pop() event {
	first, n := q.events[0], len(q.events)-1
	e := q.events[n]
	q.events[n] = event{}
	q.events = q.events[:n]
	i := 0
	for {
		down := 4*i + 1
		if down >= n {
			break
		}
		least := down
		for k := down + 1; k < min(down+4, n); k++ {
			if q.events[k].before(&q.events[least]) {
				least = k
			}
		}
		if !q.events[least].before(&e) {
			break
		}
		q.events[i] = q.events[least]
		i = least
	}
	if n > 0 {
		q.events[i] = e
	}
	return first
}
