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

// adminTimeout bounds an operator's request, its answer included.
const adminTimeout = 30 * time.Second

// PushRejectedError is a service's rejection of a text, as operators receive it.
type PushRejectedError struct{ Reasons []string }

// Error has one reason a line.
func (e *PushRejectedError) Error() string {
	return "refused, nothing has changed:\n" + strings.Join(e.Reasons, "\n")
}

// AdminCall sends a request to a service's listener for operators, at host:port or at a
// Unix socket's path, and returns the body of its answer. What the service does not make
// a version is a *PushRejectedError; any other answer than 200 is an error too.
func AdminCall(ctx context.Context, admin, method, path string, body []byte) ([]byte, error) {
	network, base := "tcp", "http://"+admin
	if isSocketPath(admin) {
		network, base = "unix", "http://unix"
	}
	client := &http.Client{Timeout: adminTimeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, admin)
		}}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("control: %w; does spool-control serve run, and is this its (admin ...)?", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("control: %s %s: reading the answer of %s: %w", method, path, admin, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return answer, nil
	case http.StatusUnprocessableEntity:
		result, err := ParsePushResult(answer)
		if err != nil {
			return nil, err
		}
		return nil, &PushRejectedError{result.Reasons}
	}
	var result PushResult
	if json.Unmarshal(answer, &result) == nil && result.Error != "" {
		return nil, fmt.Errorf("control: %s", result.Error)
	}
	return nil, fmt.Errorf("control: the service answers %s: %s", response.Status, bytes.TrimSpace(answer))
}

// AdminPush pushes settings to a service, and returns their number. immediate has them go
// to all routers at once. Errors are as AdminCall's.
func AdminPush(ctx context.Context, admin string, text []byte, immediate bool) (int64, error) {
	query := url.Values{}
	if immediate {
		query.Set("now", "1")
	}
	answer, err := AdminCall(ctx, admin, "POST", "/push?"+query.Encode(), text)
	if err != nil {
		return 0, err
	}
	result, err := ParsePushResult(answer)
	return result.Number, err
}

// ParsePushResult reads the answer to a push, a rollback or a halt.
func ParsePushResult(answer []byte) (PushResult, error) {
	var result PushResult
	if err := json.Unmarshal(answer, &result); err != nil {
		return PushResult{}, fmt.Errorf("control: the answer to a push is malformed: %w", err)
	}
	return result, nil
}

// AdminStatus returns a service's status. Errors are as AdminCall's.
func AdminStatus(ctx context.Context, admin string) (StatusView, error) {
	var view StatusView
	answer, err := AdminCall(ctx, admin, "GET", "/status", nil)
	if err != nil {
		return view, err
	}
	if err := json.Unmarshal(answer, &view); err != nil {
		return view, fmt.Errorf("control: the status of %s is malformed: %w", admin, err)
	}
	return view, nil
}
