// This file owns the order of events. It must never know what one means.

package emulator

// kind of an event. At one instant lower kinds come first, and of one kind those that were asked for first: troubles
// before what they hit, answers before the limits that they beat, limits before what clients do next.
type kind uint8

const (
	onFault   kind = iota // n: number of the fault, a: 1 when it comes, 0 when it ends, 2 while it ramps
	onLife                // r: none; n: what is to be done
	onList                // n: instance
	onRefresh             // n: backend
	onFinish              // n: backend
	onConnect             // r: reaches its backend with a new connection
	onArrive              // r: reaches its backend
	onAnswer              // r: its outcome reaches its instance
	onCalled              // r: the call that its work made has ended; a: 1 if answered
	onCancel              // r: word that nobody waits any more reaches its backend
	onNote                // n: number of a message
	onTimer               // n: token; a: instance
	onLimit               // n: command
	onAccept              // o: a try reaches its instance
	onReply               // o: an answer reaches the client
	onGiveUp              // o: the client gives up its try
	onTry                 // o: the client tries again
	onIdle                // a: instance, n: backend
	onArrival             // n: number of the zone
)

// event is one thing to come. Of r and o only the one that gen belongs to still is what was meant.
type event struct {
	at   float64
	rank uint64 // kind, then a count
	n    uint64
	r    *relay
	o    *operation
	a    int32
	gen  uint32
}

func (e *event) kind() kind { return kind(e.rank >> 56) }

func (e *event) before(f *event) bool { return e.at < f.at || e.at == f.at && e.rank < f.rank }

// queue is a heap of events, four to a knot: half as deep as one of two, and most of a knot lies in one line of cache.
type queue struct {
	all  []event
	made uint64
}

func (q *queue) push(k kind, e event) {
	q.made++
	e.rank = uint64(k)<<56 | q.made
	q.all = append(q.all, e)
	i := len(q.all) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&q.all[up]) {
			break
		}
		q.all[i] = q.all[up]
		i = up
	}
	q.all[i] = e
}

func (q *queue) pop() event {
	first, n := q.all[0], len(q.all)-1
	e := q.all[n]
	q.all[n] = event{}
	q.all = q.all[:n]
	i := 0
	for {
		down := 4*i + 1
		if down >= n {
			break
		}
		least := down
		for k := down + 1; k < min(down+4, n); k++ {
			if q.all[k].before(&q.all[least]) {
				least = k
			}
		}
		if !q.all[least].before(&e) {
			break
		}
		q.all[i] = q.all[least]
		i = least
	}
	if n > 0 {
		q.all[i] = e
	}
	return first
}
