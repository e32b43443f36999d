// Spool-control serves numbered versions of a configuration to routers, in stages, and
// shows which router runs which version. The commands are defined here; serve.go runs
// the service, and admin.go sends requests to a running one. The service itself is
// internal/controlplane/service.
package main

import (
	"fmt"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"indigospool/internal/cli"
)

func main() {
	root := &cobra.Command{Use: "spool-control", Short: "Serves versions of a configuration to routers, and shows which router runs which version"}
	var client adminClient
	adminCommands := []*cobra.Command{
		pushCommand(&client), rollbackCommand(&client), haltCommand(&client),
		statusCommand(&client), versionsCommand(&client), showCommand(&client),
	}
	for _, command := range adminCommands {
		command.Flags().StringVar(&client.admin, "admin", "127.0.0.1:9901", "address of the service's listener for operators: host:port, or the path of a Unix socket")
	}
	root.AddCommand(serveCommand())
	root.AddCommand(adminCommands...)
	cli.Main(root)
}

func serveCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use: "serve -c FILE", Short: "Serve until SIGTERM or SIGINT", Args: cobra.NoArgs,
		Example: "  spool-control serve -c control.edn",
		RunE:    func(c *cobra.Command, _ []string) error { return serve(c.Context(), file) },
	}
	command.Flags().StringVarP(&file, "config", "c", "", "settings file")
	command.MarkFlagRequired("config")
	return command
}

// rolloutFlags are the flags of commands that start a rollout.
type rolloutFlags struct {
	immediate bool
	wait      time.Duration
}

func (f *rolloutFlags) add(command *cobra.Command) {
	command.Flags().BoolVar(&f.immediate, "now", false, "roll out to all routers at once, without stages")
	command.Flags().DurationVar(&f.wait, "wait", 0, "wait up to this long until all routers run it; exit 1 if it is halted or takes longer")
}

func pushCommand(client *adminClient) *cobra.Command {
	var flags rolloutFlags
	var unchecked bool
	command := &cobra.Command{
		Use: "push FILE", Short: "Check settings and start their rollout; exit 1 if they are rejected", Args: cobra.ExactArgs(1),
		Long: "Check settings and start their rollout: one router, a tenth, all. FILE may be a folder, whose\n" +
			"files *.edn form one text, or - for standard input.",
		Example: "  spool-control push edge.edn\n  spool-control push settings.d --now\n  spool-control push edge.edn --wait 5m",
		RunE: func(c *cobra.Command, args []string) error {
			name, text, err := readSettings(args[0])
			if err != nil {
				return err
			}
			query := url.Values{"name": {name}}
			setFlag(query, "now", flags.immediate)
			setFlag(query, "unchecked", unchecked)
			return client.push(c.Context(), "/push?"+query.Encode(), text, flags.wait)
		},
	}
	flags.add(command)
	command.Flags().BoolVar(&unchecked, "unchecked", false, "skip the service's checks; routers still check the settings")
	return command
}

func rollbackCommand(client *adminClient) *cobra.Command {
	var flags rolloutFlags
	command := &cobra.Command{
		Use: "rollback NUMBER", Short: "Give the content of an earlier version a new number, and roll it out", Args: cobra.ExactArgs(1),
		Example: "  spool-control rollback 17 --now",
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := strconv.ParseInt(args[0], 10, 64); err != nil {
				return fmt.Errorf("%q is not a version number; see spool-control versions", args[0])
			}
			query := url.Values{"to": {args[0]}}
			setFlag(query, "now", flags.immediate)
			return client.push(c.Context(), "/rollback?"+query.Encode(), nil, flags.wait)
		},
	}
	flags.add(command)
	return command
}

func haltCommand(client *adminClient) *cobra.Command {
	return &cobra.Command{
		Use: "halt", Short: "Stop the rollout in progress; all routers get the old content", Args: cobra.NoArgs, Example: "  spool-control halt",
		RunE: func(c *cobra.Command, _ []string) error { return client.push(c.Context(), "/halt", nil, 0) },
	}
}

func statusCommand(client *adminClient) *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use: "status", Short: "Show which version each router runs, and what it rejected and why; exit 1 if not all run the same version", Args: cobra.NoArgs,
		Example: "  spool-control status\n  spool-control status --json",
		RunE:    func(c *cobra.Command, _ []string) error { return client.status(c.Context(), asJSON) },
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the status as JSON")
	return command
}

func versionsCommand(client *adminClient) *cobra.Command {
	return &cobra.Command{
		Use: "versions", Short: "List the stored versions", Args: cobra.NoArgs, Example: "  spool-control versions",
		RunE: func(c *cobra.Command, _ []string) error { return client.versions(c.Context()) },
	}
}

func showCommand(client *adminClient) *cobra.Command {
	return &cobra.Command{
		Use: "show NUMBER", Short: "Print the settings of a version", Args: cobra.ExactArgs(1), Example: "  spool-control show 12 > version-12.edn",
		RunE: func(c *cobra.Command, args []string) error {
			settings, err := client.call(c.Context(), "GET", "/version?number="+url.QueryEscape(args[0]), nil)
			if err == nil {
				os.Stdout.Write(settings)
			}
			return err
		},
	}
}

func setFlag(query url.Values, name string, on bool) {
	if on {
		query.Set(name, "1")
	}
}
