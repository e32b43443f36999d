// Spool-control serves numbered versions of a configuration to routers, in
// stages, and shows which router runs what.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"indigospool/internal/cli"
	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/service"
)

func main() {
	root := &cobra.Command{Use: "spool-control", Short: "Serves versions of a configuration to routers, and shows who runs what"}
	var admin, file string
	var now, unchecked, asJSON bool
	var wait time.Duration
	serve := &cobra.Command{Use: "serve -c FILE", Short: "Serve until SIGTERM or SIGINT", Args: cobra.NoArgs,
		Example: "  spool-control serve -c control.edn",
		RunE:    func(c *cobra.Command, _ []string) error { return serve(c.Context(), file) }}
	serve.Flags().StringVarP(&file, "config", "c", "", "settings file")
	serve.MarkFlagRequired("config")

	push := &cobra.Command{Use: "push FILE", Short: "Check settings and begin their rollout; exit 1 where they are refused", Args: cobra.ExactArgs(1),
		Long: "Check settings and begin their rollout: one router, a tenth, all. FILE may be a folder, whose\n" +
			"files *.edn are one text, or - for standard input.",
		Example: "  spool-control push edge.edn\n  spool-control push settings.d --now\n  spool-control push edge.edn --wait 5m",
		RunE: func(c *cobra.Command, args []string) error {
			name, text, err := read(args[0])
			if err != nil {
				return err
			}
			q := url.Values{"name": {name}}
			flag(q, "now", now)
			flag(q, "unchecked", unchecked)
			return client{admin}.push(c.Context(), "/push?"+q.Encode(), text, wait)
		}}
	rollback := &cobra.Command{Use: "rollback NUMBER", Short: "Give the content of an earlier version a new number, and roll it out", Args: cobra.ExactArgs(1),
		Example: "  spool-control rollback 17 --now",
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := strconv.ParseInt(args[0], 10, 64); err != nil {
				return fmt.Errorf("%q is no version's number; see spool-control versions", args[0])
			}
			q := url.Values{"to": {args[0]}}
			flag(q, "now", now)
			return client{admin}.push(c.Context(), "/rollback?"+q.Encode(), nil, wait)
		}}
	for _, c := range []*cobra.Command{push, rollback} {
		c.Flags().BoolVar(&now, "now", false, "to all routers at once, without stages")
		c.Flags().DurationVar(&wait, "wait", 0, "wait so long until it is everybody's; exit 1 where it is halted or not done")
	}
	push.Flags().BoolVar(&unchecked, "unchecked", false, "also what does not pass the service's checks; routers make theirs")

	halt := &cobra.Command{Use: "halt", Short: "Stop the rollout under way; the old content goes to all", Args: cobra.NoArgs, Example: "  spool-control halt",
		RunE: func(c *cobra.Command, _ []string) error { return client{admin}.push(c.Context(), "/halt", nil, 0) }}
	status := &cobra.Command{Use: "status", Short: "Which version each router runs, what it refused and why; exit 1 where not all are level", Args: cobra.NoArgs,
		Example: "  spool-control status\n  spool-control status --json",
		RunE:    func(c *cobra.Command, _ []string) error { return client{admin}.status(c.Context(), asJSON) }}
	status.Flags().BoolVar(&asJSON, "json", false, "print it as JSON")
	versions := &cobra.Command{Use: "versions", Short: "The versions that are kept", Args: cobra.NoArgs, Example: "  spool-control versions",
		RunE: func(c *cobra.Command, _ []string) error { return client{admin}.versions(c.Context()) }}
	show := &cobra.Command{Use: "show NUMBER", Short: "The settings of a version", Args: cobra.ExactArgs(1), Example: "  spool-control show 12 > version-12.edn",
		RunE: func(c *cobra.Command, args []string) error {
			b, err := client{admin}.call(c.Context(), "GET", "/version?number="+url.QueryEscape(args[0]), nil)
			if err == nil {
				os.Stdout.Write(b)
			}
			return err
		}}
	for _, c := range []*cobra.Command{push, rollback, halt, status, versions, show} {
		c.Flags().StringVar(&admin, "admin", "127.0.0.1:9901", "where the service listens for operators: host:port, or a Unix socket's path")
	}
	root.AddCommand(serve, push, rollback, halt, status, versions, show)
	cli.Main(root)
}

func flag(q url.Values, name string, on bool) {
	if on {
		q.Set(name, "1")
	}
}

func serve(ctx context.Context, file string) error {
	s := &service.Settings{}
	if err := config.ReadFile(file, s); err != nil {
		var faults config.Faults
		if errors.As(err, &faults) {
			return &cli.FoundError{Err: err}
		}
		return err
	}
	log, err := logger(s.Service.Log)
	if err != nil {
		return err
	}
	defer log.Sync()
	svc, err := start(ctx, s, log)
	if err != nil {
		return err
	}
	defer svc.Close()
	log.Info("serving", zap.String("name", s.Service.Name), zap.String("address", svc.Addr()), zap.String("admin", svc.AdminAddr()))
	<-ctx.Done()
	log.Info("ended")
	return nil
}

const (
	firstRetry = 100 * time.Millisecond // of starting
	lastRetry  = 5 * time.Second
)

// start starts the service. Where its store can't be read or written for now, it
// tries again until the context ends: without its state it must offer nothing.
func start(ctx context.Context, s *service.Settings, log *zap.Logger) (*service.Service, error) {
	began := time.Now()
	for wait := firstRetry; ; wait = min(2*wait, lastRetry) {
		svc, err := service.Start(s, log, nil)
		var fault *configstore.FaultError
		if !errors.As(err, &fault) {
			return svc, err
		}
		log.Error("not serving yet: the store can't be read or written for now", zap.Duration("for", time.Since(began)), zap.Error(err))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, err
		}
	}
}

func logger(where string) (*zap.Logger, error) {
	if where == "none" {
		return zap.NewNop(), nil
	}
	c := zap.NewProductionConfig()
	c.OutputPaths, c.ErrorOutputPaths = []string{where}, []string{"stderr"}
	c.DisableStacktrace, c.DisableCaller, c.Sampling = true, true, nil
	return c.Build()
}

// read is a text of settings: a file's, a folder's, or standard input's.
func read(path string) (name string, text []byte, err error) {
	if path == "-" {
		text, err = io.ReadAll(os.Stdin)
		return "stdin", text, err
	}
	if st, err := os.Stat(path); err != nil || !st.IsDir() {
		text, err = os.ReadFile(path)
		return path, text, err
	}
	sources, err := service.ReadFolder(path)
	if err != nil {
		return "", nil, err
	}
	// checked here too, since only here faults have the files' own places
	if _, reasons := service.Validate(sources, nil, service.NoLimits()); len(reasons) > 0 {
		return "", nil, &cli.FoundError{Err: &service.RejectedError{Reasons: reasons}}
	}
	for _, s := range sources {
		text = append(append(text, s.Text...), '\n')
	}
	return path, text, nil
}

// client speaks to a service's listener for operators.
type client struct{ admin string }

// call is control.Call, with what is refused as something found.
func (c client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	b, err := service.AdminCall(ctx, c.admin, method, path, body)
	var lines *service.PushRejectedError
	if errors.As(err, &lines) {
		return nil, &cli.FoundError{Err: err}
	}
	return b, err
}

func (c client) push(ctx context.Context, path string, body []byte, wait time.Duration) error {
	b, err := c.call(ctx, "POST", path, body)
	if err != nil {
		return err
	}
	var r service.PushResult
	if err := json.Unmarshal(b, &r); err != nil {
		return err
	}
	if !r.Created {
		fmt.Printf("version %d has this content already\n", r.Number)
	} else {
		fmt.Printf("version %d\n", r.Number)
	}
	if wait <= 0 {
		return nil
	}
	for end := time.Now().Add(wait); time.Now().Before(end); {
		v, err := service.AdminStatus(ctx, c.admin)
		switch {
		case err != nil:
			return err
		case v.Base >= r.Number && v.Halted != "":
			return &cli.FoundError{Err: fmt.Errorf("version %d was halted: %s", r.Number, v.Halted)}
		case v.Base >= r.Number && behind(v) == 0:
			fmt.Printf("version %d is everybody's: %d routers\n", r.Number, len(v.Routers))
			return nil
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return &cli.FoundError{Err: fmt.Errorf("version %d is not everybody's after %v; see spool-control status", r.Number, wait)}
}

// behind counts routers with a stream that don't run everybody's version.
func behind(v service.StatusView) (n int) {
	for _, r := range v.Routers {
		if r.Connected && r.Running < v.Base {
			n++
		}
	}
	return n
}

func (c client) status(ctx context.Context, asJSON bool) error {
	v, err := service.AdminStatus(ctx, c.admin)
	if err != nil {
		return err
	}
	if asJSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", " ")
		if err := enc.Encode(v); err != nil {
			return err
		}
	} else {
		tell(os.Stdout, v)
	}
	if v.Halted != "" || behind(v) > 0 {
		return cli.ErrFound
	}
	return nil
}

func tell(w io.Writer, v service.StatusView) {
	fmt.Fprintf(w, "service %s: version %d is everybody's", v.Service, v.Base)
	if v.Next > 0 {
		fmt.Fprintf(w, ", version %d is in stage %d", v.Next, v.Stage+1)
	}
	fmt.Fprintln(w)
	if v.StateFault != "" {
		fmt.Fprintf(w, "the state can't be kept since %s, for %v, and nothing is offered meanwhile: %s\n", v.StateFaultSince,
			(time.Duration(v.StateFaultMs) * time.Millisecond).Round(time.Second), v.StateFault)
	}
	if v.Halted != "" {
		fmt.Fprintf(w, "the last rollout was halted: %s\n", v.Halted)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ROUTER\tSTREAM\tACCEPTED\tREFUSED\tIN TIME\tWHY")
	for _, r := range v.Routers {
		stream, refused, served, why := "yes", "-", "-", ""
		if !r.Connected {
			stream = "no"
		}
		if r.Rejected > 0 {
			refused, why = strconv.FormatInt(r.Rejected, 10), strings.Join(r.Reasons, " | ")
		}
		if r.InTimeShare >= 0 {
			served = fmt.Sprintf("%.1f %%", 100*r.InTimeShare)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\n", r.Router, stream, r.Running, refused, served, why)
	}
	t.Flush()
}

func (c client) versions(ctx context.Context) error {
	b, err := c.call(ctx, "GET", "/versions", nil)
	if err != nil {
		return err
	}
	var list []service.VersionView
	if err := json.Unmarshal(b, &list); err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "VERSION\tBYTES\tAGE\tSUM")
	for _, v := range list {
		fmt.Fprintf(t, "%d\t%d\t%v\t%.12s\n", v.Number, v.Bytes, (time.Duration(v.AgeMs) * time.Millisecond).Round(time.Second), v.Sum)
	}
	return t.Flush()
}
