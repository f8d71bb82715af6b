package proxy

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// settingsWithVerbs returns settingsText with the given verbs in this order, and with another customer before its own.
func settingsWithVerbs(t *testing.T, names ...string) string {
	t.Helper()
	var all map[string]any
	if err := json.Unmarshal([]byte(settingsText), &all); err != nil {
		t.Fatal(err)
	}
	byName := map[string]any{}
	for _, v := range all["verbs"].([]any) {
		byName[v.(map[string]any)["name"].(string)] = v
	}
	verbs := []any{}
	for _, name := range names {
		verbs = append(verbs, byName[name])
	}
	all["verbs"] = verbs
	all["realms"] = append([]any{jsonObject{"name": "other", "allowance_per_s": 1}}, all["realms"].([]any)...)
	text, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// block holds up the proxy's loop until the returned function is called.
func (r *testProxy) block() (release func()) {
	blocked, released := make(chan bool), make(chan bool)
	go r.onLoop(func() {
		close(blocked)
		<-released
	})
	<-blocked
	return func() { close(released) }
}

// Guards against commands that lose their verb: in an upgrade the settings change while they wait for the other version to say whether
// it has their Req-Id. Where the verb was gone the proxy crashed, and where verbs had changed places a command that must not run twice
// was treated as one that may.
func TestSettingsChangeWhileCommandsWaitForTheOtherVersion(t *testing.T) {
	for name, verbs := range map[string][]string{
		"verbs are gone":          {"look"},
		"verbs have other places": {"pay", "look", "order"},
	} {
		for _, waiting := range []string{"new", "old"} {
			t.Run(name+", at the "+waiting+" version", func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int32
				handle := func(b *fakeBackend, c net.Conn, r *http.Request) {
					if r.Method == "GET" {
						echo(b, c, r)
						return
					}
					runs.Add(1)
					resetConn(b, c, r)
				}
				one, two := newFakeBackend(t, handle), newFakeBackend(t, handle)
				cfg := inheritingConfig(t, endpointList(1, true, readyEndpoint("s-1", one), readyEndpoint("s-2", two)))
				asking, asked, client := startUpgradeWithCommand(t, cfg, waiting)
				next := *asking.startConfig
				next.Settings = json.RawMessage(settingsWithVerbs(t, verbs...))
				defer asked.block()()
				io.WriteString(client, "\r\n") // the end of the command
				asking.await(t, "the command waits for the other version", func() bool {
					if len(asking.pendingClaims) == 0 {
						return false
					}
					if err := asking.reload(&next); err != nil {
						t.Error(err)
					}
					asking.grantAllClaims()
					return true
				})
				if status, text, _ := client.readAnswer(); status != 502 {
					t.Errorf("a command that may have run got %d %s, want 502", status, text)
				}
				if n := runs.Load(); n != 1 {
					t.Errorf("a command that must not run twice was sent %d times", n)
				}
			})
		}
	}
}

// startUpgradeWithCommand starts a proxy and a new version beside it. It returns the given version, "new" or "old", the other one, and a
// connection of a client to the former, which has sent a command up to its last line break.
func startUpgradeWithCommand(t *testing.T, cfg *Config, version string) (asking, asked *testProxy, client *testClient) {
	t.Helper()
	old := startProxy(t, cfg)
	old.wantAdminStatus(t, 200, "GET", "/admin/health")
	fd, err := strconv.Atoi(cfg.Socket)
	if err != nil {
		t.Fatal(err)
	}
	request := requestText("pay", "Content-Length: 0\r\n")
	incomplete := strings.TrimSuffix(request, "\r\n")
	toOld := old.dial(t) // also keeps the old version running
	io.WriteString(toOld, incomplete)
	old.await(t, "the command is being read", func() bool { return old.clients.byState[stateSending].Len() == 1 })
	next := startProxy(t, nextVersionConfig(t, cfg, fd))
	next.await(t, "the new version serves", next.acceptsClients)
	old.await(t, "the old version has yielded", func() bool { return old.handover.successorServes })
	if version == "old" {
		return old, next, toOld
	}
	toNext := next.dial(t)
	io.WriteString(toNext, incomplete)
	return next, old, toNext
}
