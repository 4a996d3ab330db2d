package figshift

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

func newTestClient(t *testing.T, status int, body string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return &Client{Address: server.URL, Key: "k"}
}

func TestErrorsAreTyped(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   Error
	}{
		"refusal": {
			http.StatusServiceUnavailable,
			`{"Kind":"LotNotReady","Run":"NotRun","Detail":"lot 1","RetryAfterMS":250,"Request":"r1"}`,
			Error{Status: 503, Kind: "LotNotReady", Run: NotRun, Detail: "lot 1", Request: "r1", RetryAfter: 250 * time.Millisecond},
		},
		"answer of another server": {
			http.StatusBadGateway,
			"<html>",
			Error{Status: 502, Kind: "Internal", Run: Unknown, Detail: "502 Bad Gateway"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := (&Lots{Client: newTestClient(t, c.status, c.body), Rollout: "r", Consumer: "t"}).Next(context.Background())
			var got *Error
			if !errors.As(err, &got) {
				t.Fatalf("error %v, want an *Error", err)
			}
			if diff := cmp.Diff(c.want, *got); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

func TestStreamKnowsWhetherItIsWhole(t *testing.T) {
	cases := map[string]struct {
		body string
		want error
	}{
		"whole":       {`{"Tokens":["a"],"Version":1}` + "\n" + `{"Done":true}`, io.EOF},
		"ended early": {`{"Tokens":["a"],"Version":1}` + "\n", ErrCut},
		"cut line":    {`{"Tokens":["a"],"Ver`, ErrCut},
		"error line":  {`{"Error":"StreamCut"}`, ErrCut},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, err := newTestClient(t, http.StatusOK, c.body).Generate(context.Background(), "/v1/generate", Generate{})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			for err == nil {
				_, err = s.Next()
			}
			if !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}
