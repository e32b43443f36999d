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
	h := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, admin)
		}}}
	defer h.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	res, err := h.Do(req)
	if err != nil {
		return nil, fmt.Errorf("control: %w; does spool-control serve run, and is this its (admin ...)?", err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusUnprocessableEntity {
		var r PushResult
		if err := json.Unmarshal(b, &r); err != nil {
			return nil, err
		}
		return nil, &PushRejectedError{r.Reasons}
	}
	if res.StatusCode != http.StatusOK {
		var r PushResult
		if json.Unmarshal(b, &r) == nil && r.Error != "" {
			return nil, fmt.Errorf("control: %s", r.Error)
		}
		return nil, fmt.Errorf("control: the service answers %s: %s", res.Status, bytes.TrimSpace(b))
	}
	return b, nil
}

// AdminPush pushes settings to a service, and returns their number.
func AdminPush(ctx context.Context, admin string, text []byte, now bool) (int64, error) {
	q := url.Values{}
	if now {
		q.Set("now", "1")
	}
	b, err := AdminCall(ctx, admin, "POST", "/push?"+q.Encode(), text)
	if err != nil {
		return 0, err
	}
	var r PushResult
	err = json.Unmarshal(b, &r)
	return r.Number, err
}

// AdminStatus is a service's status.
func AdminStatus(ctx context.Context, admin string) (v StatusView, err error) {
	b, err := AdminCall(ctx, admin, "GET", "/status", nil)
	if err != nil {
		return v, err
	}
	return v, json.Unmarshal(b, &v)
}
