package service

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// PushRejectedError is a service's refusal of a text, as it told it.
type PushRejectedError struct{ Reasons []string }

func (r *PushRejectedError) Error() string {
	return "refused, nothing has changed:\n" + strings.Join(r.Reasons, "\n")
}

// AdminCall asks a service's listener for operators, at host:port or at a Unix
// socket's path, and returns the body of its answer. What it refuses to make a
// version is a *PushRejectedError.
func AdminCall(ctx context.Context, admin, method, path string, body []byte) ([]byte, error) {
	network, base := "tcp", "http://"+admin
	if strings.HasPrefix(admin, "/") {
		network, base = "unix", "http://unix"
	}
	client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, admin)
		}}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("control: %w; does spool-control serve run, and is this its (admin ...)?", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusUnprocessableEntity {
		var result PushResult
		if err := json.Unmarshal(answer, &result); err != nil {
			return nil, err
		}
		return nil, &PushRejectedError{result.Reasons}
	}
	if response.StatusCode != http.StatusOK {
		var result PushResult
		if json.Unmarshal(answer, &result) == nil && result.Error != "" {
			return nil, fmt.Errorf("control: %s", result.Error)
		}
		return nil, fmt.Errorf("control: the service answers %s: %s", response.Status, bytes.TrimSpace(answer))
	}
	return answer, nil
}

// AdminPush pushes settings to a service, and returns their number.
func AdminPush(ctx context.Context, admin string, text []byte, now bool) (int64, error) {
	query := url.Values{}
	if now {
		query.Set("now", "1")
	}
	answer, err := AdminCall(ctx, admin, "POST", "/push?"+query.Encode(), text)
	if err != nil {
		return 0, err
	}
	var result PushResult
	err = json.Unmarshal(answer, &result)
	return result.Number, err
}

// AdminStatus is a service's status.
func AdminStatus(ctx context.Context, admin string) (view StatusView, err error) {
	answer, err := AdminCall(ctx, admin, "GET", "/status", nil)
	if err != nil {
		return view, err
	}
	return view, json.Unmarshal(answer, &view)
}
