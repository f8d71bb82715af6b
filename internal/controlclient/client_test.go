package controlclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sandpass/internal/controlapi"
)

// neverAnswer reads a request and sends no response until the client disconnects.
func neverAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server notices a disconnect only after the body has been read
	<-r.Context().Done()
}

// noQuorum responds that no leader is known.
func noQuorum(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(`{"kind":"no_quorum","error":"no leader is known"}`))
}

// If replicas fail in different ways, the client must return the error that tells the operator most, whichever replica
// failed last.
func TestMostSpecificErrorIsReturned(t *testing.T) {
	silentReplica := httptest.NewServer(http.HandlerFunc(neverAnswer))
	defer silentReplica.Close()
	leaderless := httptest.NewServer(http.HandlerFunc(noQuorum))
	defer leaderless.Close()
	client, err := New([]string{strings.TrimPrefix(leaderless.URL, "http://"), strings.TrimPrefix(silentReplica.URL, "http://")})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		call func(ctx context.Context) error
		want controlapi.Kind
	}{
		{"read from one replica that answers and one that does not", func(ctx context.Context) error {
			_, err := client.Status(ctx, 0, false)
			return err
		}, controlapi.KindNoQuorum},
		{"change that one replica may have accepted", func(ctx context.Context) error {
			_, err := client.Apply(ctx, controlapi.ApplyRequest{})
			return err
		}, controlapi.KindUnknown},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		err := c.call(ctx)
		cancel()
		var apiErr *controlapi.Error
		if !errors.As(err, &apiErr) || apiErr.Kind != c.want {
			t.Errorf("%s: got error %v, want kind %s", c.name, err, c.want)
		}
	}
}
