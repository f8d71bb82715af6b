package http1

import "testing"

// BenchmarkMessages parses one command and one response as the platform's clients and backends write them.
func BenchmarkMessages(b *testing.B) {
	command := []byte("POST /checkout HTTP/1.1\r\nHost: app.svc\r\nReq-Id: 9b1f03aa5c7e2d41\r\nReq-Kind: checkout\r\nReq-Owner: acme\r\n" +
		"Req-Deadline: 0.480\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length: 4\r\n\r\nbody")
	response := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody")
	var m Message
	b.Run("command", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m.Reset()
			if complete, err := m.ParseCommand(command); !complete || err != nil {
				b.Fatal(complete, err)
			}
		}
	})
	b.Run("response", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m.Reset()
			if complete, err := m.ParseResponse(response, false); !complete || err != nil {
				b.Fatal(complete, err)
			}
		}
	})
}
