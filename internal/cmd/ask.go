package cmd

import (
	"context"
	"fmt"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/client"
)

type askOptions struct {
	Caller    callerOptions `group:"Caller"`
	Model     string        `long:"model" env:"MONSOONRAIL_MODEL" default:"auto" description:"auto, a model, or model@version"`
	Service   string        `long:"service" env:"MONSOONRAIL_SERVICE" description:"engine service; empty takes the team's own"`
	Class     string        `long:"class" env:"MONSOONRAIL_CLASS" description:"class of the request; empty takes the service's first"`
	Session   string        `long:"session" env:"MONSOONRAIL_SESSION" description:"session token of an earlier answer, which keeps its version"`
	MaxTokens int           `long:"max-tokens" env:"MONSOONRAIL_MAX_TOKENS" description:"bound on the answer's length; 0 leaves it to the service"`
	Timeout   time.Duration `long:"timeout" env:"MONSOONRAIL_TIMEOUT" default:"1m" description:"how long to wait for the whole answer"`
	Whole     bool          `long:"whole" env:"MONSOONRAIL_WHOLE" description:"ask for the whole answer at once instead of a stream"`

	std streams
}

func askCommand(std streams) subcommand {
	return subcommand{
		name:  "ask",
		short: "Ask a question",
		long: "Sends its arguments as one chat message and prints the answer as it comes. The request's id, the version that " +
			"answered and the session token go to the standard error.",
		data: &askOptions{std: std},
	}
}

// Execute implements flags.Commander.
func (o *askOptions) Execute(args []string) error {
	prompt := strings.Join(args, " ")
	if prompt == "" {
		return &usageError{cause: &errBadFlag{flag: "the question", value: "", allowed: "one argument or more"}}
	}
	if o.Timeout <= 0 {
		return &usageError{cause: &errBadFlag{flag: "--timeout", value: o.Timeout.String(), allowed: "a duration above 0"}}
	}
	caller, err := o.Caller.client()
	if err != nil {
		return err
	}
	defer caller.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	session := client.NewSession(api.SessionToken(o.Session))
	call := client.ChatCall{
		Request: api.ChatRequest{
			Model:     o.Model,
			Messages:  []api.ChatMessage{{Role: "user", Content: prompt}},
			MaxTokens: api.Tokens(o.MaxTokens),
		},
		Service: api.Service(o.Service),
		Class:   api.Class(o.Class),
		Session: session,
	}
	info, err := o.ask(ctx, caller, call)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.std.err, "request %s, version %s, node %s, session %s\n", info.RequestID, info.Version, info.Node, session.Token())
	return nil
}

func (o *askOptions) ask(ctx context.Context, caller *client.Client, call client.ChatCall) (client.Info, error) {
	if o.Whole {
		answer, err := caller.Chat(ctx, call)
		if err != nil {
			return client.Info{}, err
		}
		fmt.Fprintln(o.std.out, answer.Text())
		return answer.Info, nil
	}
	var info client.Info
	for event, err := range caller.ChatStream(ctx, call) {
		info = event.Info
		switch {
		case err != nil:
			fmt.Fprintln(o.std.out)
			return info, err
		case event.Restart:
			fmt.Fprintf(o.std.out, "\n[the answer is begun anew after %d tokens]\n", event.Index)
		default:
			fmt.Fprint(o.std.out, event.Text)
		}
	}
	fmt.Fprintln(o.std.out)
	return info, nil
}
