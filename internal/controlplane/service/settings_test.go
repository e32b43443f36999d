package service

import (
	"errors"
	"strings"
	"testing"

	"indigospool/internal/config"
)

// Invalid settings of a service are reported as faults.
func TestInvalidServiceSettings(t *testing.T) {
	for text, want := range map[string]string{
		`(service (store x) (listen "10.0.0.1:9900"))`:              "is not a loopback address, and there is no certificate",
		`(service (store x) (admin "0.0.0.0:9901"))`:                "the listener for operators has no password",
		`(service (store x) (cert a))`:                              "cert, key and authorities are not all given",
		`(service (store x)) (rollout (stages 0 0.5))`:              "is not 1",
		`(service (store x)) (rollout (stages 0.5 0.2 1))`:          "is not ascending",
		`(service (listen "127.0.0.1:1"))`:                          "service/store: not given",
		`(service (store x)) (rollout (stages 0 2))`:                "it must be from 0 to 1",
		`(service (store x)) (checks (parent-churn 0))`:             "it must be from 0.01 to 1",
		`(service (store x) (per-second 0)) (rollout (patience 0))`: "must be",
	} {
		var server Settings
		if err := config.Read("svc", text, &server); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
	if _, err := ReadFolder(t.TempDir()); err == nil || !strings.Contains(err.Error(), "holds no file *.edn") {
		t.Errorf("empty folder: %v, want an error that it holds no file", err)
	}
	var rejected *RejectedError
	server := NewServer(ServerConfig{Name: "x"})
	defer server.Stop()
	_, _, err := server.PushSources([]config.Source{{File: "f", Text: "(router)"}}, false)
	if !errors.As(err, &rejected) || server.Status().State.LastNumber != 0 {
		t.Errorf("push of invalid settings: %v, state %+v; want a RejectedError and no number assigned", err, server.Status().State)
	}
}
