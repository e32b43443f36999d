package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"indigospool/internal/cli"
	"indigospool/internal/controlplane/service"
)

// readSettings reads a text of settings from a file, a folder or, as -, standard input.
func readSettings(path string) (name string, text []byte, err error) {
	if path == "-" {
		text, err = io.ReadAll(os.Stdin)
		return "stdin", text, err
	}
	info, err := os.Stat(path)
	if err != nil || !info.IsDir() {
		text, err = os.ReadFile(path)
		return path, text, err
	}
	sources, err := service.ReadFolder(path)
	if err != nil {
		return "", nil, err
	}
	// check here as well, because the service can't report faults by file and position
	if _, reasons := service.Validate(sources, nil, service.NoLimits()); len(reasons) > 0 {
		return "", nil, &cli.FoundError{Err: &service.RejectedError{Reasons: reasons}}
	}
	for _, source := range sources {
		text = append(text, source.Text...)
		text = append(text, '\n')
	}
	return path, text, nil
}

// adminClient sends requests to a service's listener for operators.
type adminClient struct {
	admin string // address: host:port or the path of a Unix socket
}

// call is service.AdminCall; a rejection becomes a *cli.FoundError.
func (a *adminClient) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	answer, err := service.AdminCall(ctx, a.admin, method, path, body)
	var rejected *service.PushRejectedError
	if errors.As(err, &rejected) {
		return nil, &cli.FoundError{Err: err}
	}
	return answer, err
}

// push sends a request that creates a version, and waits up to wait until all connected
// routers run it; 0 means not to wait.
func (a *adminClient) push(ctx context.Context, path string, body []byte, wait time.Duration) error {
	answer, err := a.call(ctx, "POST", path, body)
	if err != nil {
		return err
	}
	result, err := service.ParsePushResult(answer)
	if err != nil {
		return err
	}
	if result.Created {
		fmt.Printf("version %d\n", result.Number)
	} else {
		fmt.Printf("version %d already has this content\n", result.Number)
	}
	if wait <= 0 {
		return nil
	}
	return a.await(ctx, result.Number, wait)
}

// pollInterval is how often await polls the service's status.
const pollInterval = 200 * time.Millisecond

// await waits until all connected routers run a version. If the version is halted, or
// that takes longer than timeout, the error is a *cli.FoundError.
func (a *adminClient) await(ctx context.Context, number int64, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		view, err := service.AdminStatus(ctx, a.admin)
		switch {
		case err != nil:
			return err
		case view.Base >= number && view.Halted != "":
			return &cli.FoundError{Err: fmt.Errorf("version %d was halted: %s", number, view.Halted)}
		case view.Base >= number && countBehind(view) == 0:
			fmt.Printf("version %d is rolled out: %d routers\n", number, len(view.Routers))
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return &cli.FoundError{Err: fmt.Errorf("not all routers run version %d after %v; see spool-control status", number, timeout)}
}

// countBehind counts the connected routers that do not run the version for all routers.
func countBehind(view service.StatusView) (count int) {
	for _, router := range view.Routers {
		if router.Connected && router.Running < view.Base {
			count++
		}
	}
	return count
}

// status prints a service's status. If the last rollout was halted or some router is
// behind, it returns cli.ErrFound.
func (a *adminClient) status(ctx context.Context, asJSON bool) error {
	view, err := service.AdminStatus(ctx, a.admin)
	if err != nil {
		return err
	}
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", " ")
		if err := encoder.Encode(view); err != nil {
			return err
		}
	} else {
		printStatus(os.Stdout, view)
	}
	if view.Halted != "" || countBehind(view) > 0 {
		return cli.ErrFound
	}
	return nil
}

func printStatus(w io.Writer, view service.StatusView) {
	fmt.Fprintf(w, "service %s: version %d is for all routers", view.Service, view.Base)
	if view.Next > 0 {
		fmt.Fprintf(w, ", version %d is in stage %d", view.Next, view.Stage+1)
	}
	fmt.Fprintln(w)
	if view.StateFault != "" {
		fmt.Fprintf(w, "persisting the state has failed since %s, for %v; nothing is offered until it succeeds: %s\n", view.StateFaultSince,
			wholeSeconds(view.StateFaultMs), view.StateFault)
	}
	if view.Halted != "" {
		fmt.Fprintf(w, "the last rollout was halted: %s\n", view.Halted)
	}
	table := newTable(w)
	fmt.Fprintln(table, "ROUTER\tSTREAM\tACCEPTED\tREJECTED\tIN TIME\tREASONS")
	for _, router := range view.Routers {
		stream, rejected, inTime, why := "yes", "-", "-", ""
		if !router.Connected {
			stream = "no"
		}
		if router.Rejected > 0 {
			rejected = strconv.FormatInt(router.Rejected, 10)
			why = strings.Join(router.Reasons, " | ")
		}
		if router.InTimeShare >= 0 {
			inTime = fmt.Sprintf("%.1f %%", 100*router.InTimeShare)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", router.Router, stream, router.Running, rejected, inTime, why)
	}
	table.Flush()
}

// versions prints the stored versions.
func (a *adminClient) versions(ctx context.Context) error {
	answer, err := a.call(ctx, "GET", "/versions", nil)
	if err != nil {
		return err
	}
	var views []service.VersionView
	if err := json.Unmarshal(answer, &views); err != nil {
		return fmt.Errorf("malformed list of versions from %s: %w", a.admin, err)
	}
	table := newTable(os.Stdout)
	fmt.Fprintln(table, "VERSION\tBYTES\tAGE\tSUM")
	for _, view := range views {
		fmt.Fprintf(table, "%d\t%d\t%v\t%.12s\n", view.Number, view.Bytes, wholeSeconds(view.AgeMs), view.Sum)
	}
	return table.Flush()
}

func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 8, 2, ' ', 0) }

func wholeSeconds(ms float64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second)
}
