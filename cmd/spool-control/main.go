// Spool-control serves numbered versions of a configuration to routers, in
// stages, and shows which router runs what. Its commands are here; serve.go runs the
// service, admin.go speaks to one that runs. The service itself is
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
	root := &cobra.Command{Use: "spool-control", Short: "Serves versions of a configuration to routers, and shows who runs what"}
	var client adminClient
	adminCommands := []*cobra.Command{
		pushCommand(&client), rollbackCommand(&client), haltCommand(&client),
		statusCommand(&client), versionsCommand(&client), showCommand(&client),
	}
	for _, command := range adminCommands {
		command.Flags().StringVar(&client.admin, "admin", "127.0.0.1:9901", "where the service listens for operators: host:port, or a Unix socket's path")
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

// rolloutFlags are those of commands that begin a rollout.
type rolloutFlags struct {
	immediate bool
	wait      time.Duration
}

func (f *rolloutFlags) add(command *cobra.Command) {
	command.Flags().BoolVar(&f.immediate, "now", false, "to all routers at once, without stages")
	command.Flags().DurationVar(&f.wait, "wait", 0, "wait so long until it is everybody's; exit 1 where it is halted or not done")
}

func pushCommand(client *adminClient) *cobra.Command {
	var flags rolloutFlags
	var unchecked bool
	command := &cobra.Command{
		Use: "push FILE", Short: "Check settings and begin their rollout; exit 1 where they are refused", Args: cobra.ExactArgs(1),
		Long: "Check settings and begin their rollout: one router, a tenth, all. FILE may be a folder, whose\n" +
			"files *.edn are one text, or - for standard input.",
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
	command.Flags().BoolVar(&unchecked, "unchecked", false, "also what does not pass the service's checks; routers make theirs")
	return command
}

func rollbackCommand(client *adminClient) *cobra.Command {
	var flags rolloutFlags
	command := &cobra.Command{
		Use: "rollback NUMBER", Short: "Give the content of an earlier version a new number, and roll it out", Args: cobra.ExactArgs(1),
		Example: "  spool-control rollback 17 --now",
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := strconv.ParseInt(args[0], 10, 64); err != nil {
				return fmt.Errorf("%q is no version's number; see spool-control versions", args[0])
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
		Use: "halt", Short: "Stop the rollout under way; the old content goes to all", Args: cobra.NoArgs, Example: "  spool-control halt",
		RunE: func(c *cobra.Command, _ []string) error { return client.push(c.Context(), "/halt", nil, 0) },
	}
}

func statusCommand(client *adminClient) *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use: "status", Short: "Which version each router runs, what it refused and why; exit 1 where not all are level", Args: cobra.NoArgs,
		Example: "  spool-control status\n  spool-control status --json",
		RunE:    func(c *cobra.Command, _ []string) error { return client.status(c.Context(), asJSON) },
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print it as JSON")
	return command
}

func versionsCommand(client *adminClient) *cobra.Command {
	return &cobra.Command{
		Use: "versions", Short: "The versions that are kept", Args: cobra.NoArgs, Example: "  spool-control versions",
		RunE: func(c *cobra.Command, _ []string) error { return client.versions(c.Context()) },
	}
}

func showCommand(client *adminClient) *cobra.Command {
	return &cobra.Command{
		Use: "show NUMBER", Short: "The settings of a version", Args: cobra.ExactArgs(1), Example: "  spool-control show 12 > version-12.edn",
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
