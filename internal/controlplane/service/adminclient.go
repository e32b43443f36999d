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

// adminTimeout limits the duration of an operator's request, including the response.
const adminTimeout = 30 * time.Second

// PushRejectedError reports at the client that a service rejected settings.
type PushRejectedError struct{ Reasons []string }

// Error returns a message with one reason per line.
func (e *PushRejectedError) Error() string {
	return "rejected, nothing has changed:\n" + strings.Join(e.Reasons, "\n")
}

// AdminCall sends a request to a service's listener for operators, at host:port or the
// path of a Unix socket, and returns the response body. If the service rejects the
// settings, the error is a *PushRejectedError; any other status than 200 is an error
// too.
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
		return nil, fmt.Errorf("control: %w; is spool-control serve running, and is this its (admin ...) address?", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("control: %s %s: read response of %s: %w", method, path, admin, err)
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
	return nil, fmt.Errorf("control: %s %s: response %s of %s, want 200: %s", method, path, response.Status, admin, bytes.TrimSpace(answer))
}

// AdminPush pushes settings to a service and returns their number. With immediate they
// go to all routers at once. Errors are those of AdminCall.
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

// ParsePushResult parses the response to a push, a rollback or a halt.
func ParsePushResult(answer []byte) (PushResult, error) {
	var result PushResult
	if err := json.Unmarshal(answer, &result); err != nil {
		return PushResult{}, fmt.Errorf("control: malformed response to a push: %w", err)
	}
	return result, nil
}

// AdminStatus returns a service's status. Errors are those of AdminCall.
func AdminStatus(ctx context.Context, admin string) (StatusView, error) {
	var view StatusView
	answer, err := AdminCall(ctx, admin, "GET", "/status", nil)
	if err != nil {
		return view, err
	}
	if err := json.Unmarshal(answer, &view); err != nil {
		return view, fmt.Errorf("control: malformed status of %s: %w", admin, err)
	}
	return view, nil
}
