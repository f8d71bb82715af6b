package benchwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strings"
	"testing"
)

const testSettings = `{"me": 0, "siblings": 2, "tier": 0, "tiers": ["a"], "discovery": "pushed", "news": {"to": "come"},
 "limits": {"max_relays": 3, "second_copies": true, "cancel": true, "probes": true, "retry_after": false,
  "max_retry_after_ms": 2000, "conn_idle_ms": 30000, "streams_per_conn": 1},
 "load_info": {"fields": ["cpu", "avg_ms"], "how": "answers"}, "overage_utility": 0, "tick_ms": 5,
 "prices": {"connection": 0}, "safety": {"cold_share": 0.3, "cold_ms": 7400, "fall_multiple": 2.5},
 "verbs": [{"effect": "idempotent", "key_scope": "all", "window_ms": 5000, "response_goal_ms": 2500,
  "time_limit_ms": 6000, "utility": 0, "overdue_utility": 0, "stream": false}]}`

const listRecord = "0a01 37000000 00 02000000" +
	"0a124a07 c32b 0000 0000 0000 00 0000803f 0000000000000000" +
	"0a9011f2 ec2b 0000 0000 0000 00 0000c03f 0000000000d4b740"

// parseHex decodes hexadecimal digits, without white space.
func parseHex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.NewReplacer(" ", "", "\n", "").Replace(text))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// record encodes a record from its fields.
func record(code uint16, fields ...any) []byte {
	var body bytes.Buffer
	for _, f := range fields {
		binary.Write(&body, binary.LittleEndian, f)
	}
	b := binary.LittleEndian.AppendUint16(nil, code)
	b = binary.LittleEndian.AppendUint32(b, uint32(body.Len()))
	return append(b, body.Bytes()...)
}

func createRecord(id uint32, text string) []byte {
	return record(inLaunch, id, uint64(7), uint32(len(text)), []byte(text))
}

func updateBackendsRecord(id uint32, kind, ref uint8) []byte {
	return record(inTopology, id, uint32(1), kind, ref)
}

func commandReceivedRecord(id uint32, cmd uint64, now float64) []byte {
	return record(inAccept, id, cmd, now+6000, uint16(0), uint64(0), 0.0, uint16(0), uint16(0))
}

// batch encodes a batch of records received at now, in milliseconds.
func batch(now float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(records)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)+8))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(now))
	return append(b, body...)
}

// serve processes batches and returns the replies.
func serve(in ...[]byte) (replies [][]byte, err error) {
	var out bytes.Buffer
	err = Serve(bufio.NewReader(bytes.NewReader(bytes.Join(in, nil))), &out)
	for b := out.Bytes(); len(b) > 0; {
		n := binary.LittleEndian.Uint32(b) + 4
		replies, b = append(replies, b[4:n]), b[n:]
	}
	return replies, err
}

// find returns the fields of the records with the code.
func find(reply []byte, code uint16) (found [][]byte) {
	for len(reply) > 0 {
		n := binary.LittleEndian.Uint32(reply[2:]) + 6
		if binary.LittleEndian.Uint16(reply) == code {
			found = append(found, reply[6:n])
		}
		reply = reply[n:]
	}
	return found
}

func TestRoundTrip(t *testing.T) {
	replies, err := serve(
		batch(1000),
		batch(1005, createRecord(3, testSettings), createRecord(5, testSettings), parseHex(t, listRecord),
			updateBackendsRecord(3, 2, 0), updateBackendsRecord(5, 2, 0)),
		batch(1010, commandReceivedRecord(3, 0x4289b5d3a91c4, 1010), commandReceivedRecord(5, 77, 1010)),
	)
	if err != nil || len(replies) != 3 || len(replies[0]) != 0 {
		t.Fatalf("%d replies, error %v", len(replies), err)
	}
	sent := find(replies[2], outDeliver)
	if len(sent) != 2 || len(sent[0]) != 26 {
		t.Fatalf("relays %x", sent)
	}
	if id := binary.LittleEndian.Uint32(sent[1]); id != 5 || binary.LittleEndian.Uint64(sent[0][4:]) != 0x4289b5d3a91c4 {
		t.Errorf("second relay from instance %d, first for command %x", id, sent[0][4:12])
	}
	t.Run("the first reply ends the command, a later one is ignored", func(t *testing.T) {
		to := sent[0][12:18]
		load := []any{uint8(2), float32(0.25), float32(120)}
		reply := func(final uint8, l ...any) []byte {
			fields := []any{uint32(3), uint64(0x4289b5d3a91c4), uint16(0), to, uint16(100), 18.5, final}
			return record(inReply, append(fields, l...)...)
		}
		_, err := serve(
			batch(1005, createRecord(3, testSettings), parseHex(t, listRecord), updateBackendsRecord(3, 2, 0)),
			batch(1010, commandReceivedRecord(3, 0x4289b5d3a91c4, 1010)),
			batch(1030, reply(1, load...), reply(1, uint8(0)), record(inGone, uint32(3), uint64(0x4289b5d3a91c4)),
				record(inBell, uint32(3), uint64(1<<50)), record(inShutdown, uint32(3)), reply(1, uint8(0))),
		)
		if err != nil {
			t.Error(err)
		}
	})
}

func TestListNumbersAreReused(t *testing.T) {
	one := func(b string) []byte {
		return parseHex(t, "0a01 1e000000 00 01000000"+b+"c32b 0000 0000 0000 00 0000803f 0000000000000000")
	}
	replies, err := serve(
		batch(1005, createRecord(3, testSettings), createRecord(5, testSettings),
			one("0a000001"), updateBackendsRecord(3, 2, 0), one("0a000002"), updateBackendsRecord(5, 2, 0)),
		batch(1010, commandReceivedRecord(3, 1, 1010), commandReceivedRecord(5, 2, 1010)),
	)
	if err != nil {
		t.Fatal(err)
	}
	sent := find(replies[1], outDeliver)
	if len(sent) != 2 || sent[0][15] != 1 || sent[1][15] != 2 {
		t.Errorf("relays %x", sent)
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	first := func(id ...uint32) (records [][]byte) {
		for _, w := range id {
			records = append(records, createRecord(w, testSettings), parseHex(t, listRecord), updateBackendsRecord(w, 2, 0))
		}
		return records
	}
	both, err1 := serve(batch(1005, first(3, 5)...),
		batch(1010, commandReceivedRecord(3, 1, 1010), commandReceivedRecord(5, 1, 1010)))
	alone, err2 := serve(batch(1005, first(5)...), batch(1010, commandReceivedRecord(5, 1, 1010)))
	if err1 != nil || err2 != nil {
		t.Fatal(err1, err2)
	}
	if !bytes.HasSuffix(both[1], alone[1]) {
		t.Errorf("with another instance beside it: %x, alone: %x", both[1], alone[1])
	}
}

func TestInvalidInput(t *testing.T) {
	verb4 := record(inAccept, uint32(3), uint64(1), 9.0, uint16(4), uint64(0), 0.0, uint32(0))
	good := batch(1010, createRecord(3, testSettings))
	without := func(name string) string { return strings.Replace(testSettings, `"`+name+`"`, `"x_`+name+`"`, 1) }
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"inside a header":         {good[:5], "ends inside a batch header"},
		"inside a batch":          {good[:40], "ends inside a batch of"},
		"a length too short":      {parseHex(t, "00000000 07000000"), "length 7"},
		"a record past the batch": {batch(1, parseHex(t, "0201 ff000000 00")), "length 255 does not fit"},
		"a short record":          {batch(1, parseHex(t, "0201 02000000 0000")), "fields do not fit"},
		"bytes left in a record":  {batch(1, parseHex(t, "0901 05000000 0300000000")), "left over"},
		"bytes left in a batch":   {append(parseHex(t, "00000000 0a000000 0000000000000000"), 1, 2), "left over after 0 records"},
		"an unknown event":        {batch(1, parseHex(t, "9901 04000000 03000000")), "unknown record code"},
		"invalid settings":        {batch(1, createRecord(3, "tier 0")), "settings:"},
		"a missing setting":       {batch(1, createRecord(3, without("max_relays"))), "limits.max_relays is missing"},
		"a missing verb setting":  {batch(1, createRecord(3, without("utility"))), "verbs[0].utility is missing"},
		"an undefined list": {batch(1, createRecord(3, testSettings), updateBackendsRecord(3, 2, 4)),
			"list number 4 is not defined"},
		"an unknown verb": {batch(1, createRecord(3, testSettings), verb4), "verb 4"},
	} {
		t.Run(name, func(t *testing.T) {
			replies, err := serve(c.in)
			if err == nil || !strings.Contains(err.Error(), c.want) || len(replies) > 0 {
				t.Errorf("error %v, %d replies", err, len(replies))
			}
		})
	}
}
