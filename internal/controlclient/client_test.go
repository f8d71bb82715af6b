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

// silent never answers a request; noQuorum says that there is no leader.
func silent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server sees that a client has gone only past the body
	<-r.Context().Done()
}

func noQuorum(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(`{"kind":"no_quorum","error":"no leader is known"}`))
}

func TestTheErrorThatSaysMostIsTold(t *testing.T) {
	quiet := httptest.NewServer(http.HandlerFunc(silent))
	defer quiet.Close()
	alone := httptest.NewServer(http.HandlerFunc(noQuorum))
	defer alone.Close()
	client, err := New([]string{strings.TrimPrefix(alone.URL, "http://"), strings.TrimPrefix(quiet.URL, "http://")})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		call func(ctx context.Context) error
		want controlapi.Kind
	}{
		{"a read of one that answers and one that does not", func(ctx context.Context) error {
			_, err := client.Status(ctx, 0, false)
			return err
		}, controlapi.KindNoQuorum},
		{"a change that one may have taken", func(ctx context.Context) error {
			_, err := client.Apply(ctx, controlapi.ApplyRequest{})
			return err
		}, controlapi.KindUnknown},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		err := c.call(ctx)
		cancel()
		var answered *controlapi.Error
		if !errors.As(err, &answered) || answered.Kind != c.want {
			t.Errorf("%s: %v, wanted %s", c.name, err, c.want)
		}
	}
}
