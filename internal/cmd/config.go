package cmd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"

	"github.com/monsoonrail/monsoonrail/internal/acceptance"
	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/standalone"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// configOptions holds the subcommands of "monsoonrail config".
type configOptions struct {
	Check   configCheckOptions       `command:"check" description:"Check configuration files, offline"`
	Routes  configCheckRoutesOptions `command:"check-routes" description:"Check a configuration of the users' platform before it is sent, and show what differs from the one in force"`
	Plan    configPlanOptions        `command:"plan" description:"Show what files would change and whom that touches"`
	Apply   configApplyOptions       `command:"apply" description:"Have files accepted as the fleet's configuration"`
	History configHistoryOptions     `command:"history" description:"Show the accepted changes, newest first"`
	Explain configExplainOptions     `command:"explain" description:"Show what is in force for a team and service, and why"`
}

func configCommand(std streams) subcommand {
	return subcommand{
		name:  "config",
		short: "Check, plan, apply and explain the fleet's configuration",
		long: "Works on the fleet's configuration: check and check-routes need files only; plan, apply, history and explain ask the key-value service. " +
			"Files and directories of files (.yaml, .yml) may be named; together they are the whole configuration.",
		data: &configOptions{
			Check:   configCheckOptions{std: std},
			Routes:  configCheckRoutesOptions{std: std},
			Plan:    configPlanOptions{std: std},
			Apply:   configApplyOptions{std: std},
			History: configHistoryOptions{std: std},
			Explain: configExplainOptions{std: std},
		},
	}
}

// Execute implements flags.Commander; the parser has run the subcommand already.
func (o *configOptions) Execute([]string) error { return nil }

// configFiles holds the positional arguments that name configuration files or directories.
type configFiles struct {
	Paths []string `positional-arg-name:"FILE-OR-DIRECTORY" required:"1"`
}

func (f configFiles) load() (*fleet.Config, error) {
	config, err := fleet.Load(f.Paths...)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	return config, nil
}

// kvFlags holds the flags for connecting to the key-value service.
type kvFlags struct {
	Endpoints []string      `long:"kv" env:"MONSOONRAIL_KV" env-delim:"," description:"base URL of the key-value service; may be repeated, the preferred one first"`
	Timeout   time.Duration `long:"timeout" env:"MONSOONRAIL_KV_TIMEOUT" default:"15s" description:"how long to wait for the key-value service"`
}

// configStore gives the subcommands access to the configuration and the accepted changes in the key-value service.
type configStore struct {
	*acceptance.Acceptor
	log *configlog.Log
}

// withStore calls do with the configuration store of the key-value service and a context that ends after f.Timeout.
func (f kvFlags) withStore(std streams, do func(ctx context.Context, store configStore) error) error {
	if len(f.Endpoints) == 0 || f.Endpoints[0] == "" {
		return &usageError{cause: errMissingFlag("--kv", "MONSOONRAIL_KV", "the base URL of the key-value service, such as http://10.0.0.5:2379")}
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	transport := tcp.NewTransport(tcp.System{})
	defer transport.CloseIdleConnections()
	store := standalone.NewStore(standalone.StoreOptions{Endpoints: f.Endpoints, Client: &http.Client{Transport: transport}})
	changes := configlog.New(store, configlog.DefaultPrefix)
	logger := &log.Logger{Handler: text.New(std.err), Level: log.WarnLevel}
	return do(ctx, configStore{Acceptor: acceptance.New(changes, nil, logger), log: changes})
}

// missingFlagError means that a required flag is not set.
type missingFlagError struct{ flag, env, allowed string }

func errMissingFlag(flag, env, allowed string) error { return &missingFlagError{flag, env, allowed} }

// Error implements error.
func (e *missingFlagError) Error() string {
	return fmt.Sprintf("%s (or %s) is not set; allowed: %s", e.flag, e.env, e.allowed)
}

type configCheckOptions struct {
	Files configFiles `positional-args:"true"`
	std   streams
}

// Execute implements flags.Commander.
func (o *configCheckOptions) Execute([]string) error {
	config, findings, err := fleet.Review(time.Now(), o.Files.Paths...)
	if err != nil {
		return &usageError{cause: err}
	}
	if len(findings) > 0 {
		return &fleet.ErrInvalid{Problems: findings}
	}
	fmt.Fprintf(o.std.out, "fleet %s: %d failure domains, %d services, %d teams, %d exceptions: ok\n",
		config.Fleet, len(config.FailureDomains), len(config.Services), len(config.Teams), len(config.Exceptions))
	return nil
}

type configPlanOptions struct {
	kvFlags
	Format string      `long:"format" default:"text" choice:"text" choice:"json" description:"what is printed"`
	Files  configFiles `positional-args:"true"`
	std    streams
}

// Execute implements flags.Commander.
func (o *configPlanOptions) Execute([]string) error {
	config, findings, err := fleet.Review(time.Now(), o.Files.Paths...)
	if err != nil {
		return &usageError{cause: err}
	}
	return o.withStore(o.std, func(ctx context.Context, store configStore) error {
		state, err := store.State(ctx)
		if err != nil {
			return err
		}
		plan := fleet.MakePlan(state, config, time.Now())
		if o.Format == formatJSON {
			return printJSON(o.std.out, plan)
		}
		printPlan(o.std.out, plan)
		printFindings(o.std.out, findings)
		if len(plan.Ops) > 0 {
			fmt.Fprintf(o.std.out, "\nTo apply it: monsoonrail config apply --base %d --reason TEXT %s\n", plan.Base, strings.Join(o.Files.Paths, " "))
		}
		return nil
	})
}

type configApplyOptions struct {
	kvFlags
	nodeFlags
	Base     int64       `long:"base" required:"true" description:"revision that the plan was made on; the change is refused if another came after it"`
	Author   string      `long:"author" env:"MONSOONRAIL_AUTHOR" description:"who makes the change; the user's name if left out"`
	Reason   string      `long:"reason" required:"true" description:"why; shown in the history"`
	ChangeID string      `long:"change-id" description:"id of an earlier try whose outcome is unknown; a fresh one if left out"`
	Files    configFiles `positional-args:"true"`
	std      streams
}

// Execute implements flags.Commander.
func (o *configApplyOptions) Execute([]string) error {
	config, err := o.Files.load()
	if err != nil {
		return err
	}
	if o.Author == "" {
		o.Author = os.Getenv("USER")
	}
	return o.withStore(o.std, func(ctx context.Context, store configStore) error {
		return o.apply(ctx, store, config)
	})
}

func (o *configApplyOptions) apply(ctx context.Context, store configStore, config *fleet.Config) error {
	state, err := store.State(ctx)
	if err != nil {
		return err
	}
	change := fleet.Change{
		ID: fleet.ChangeID(o.ChangeID), Base: api.Revision(o.Base), Author: o.Author, Reason: o.Reason,
		Time: time.Now().UTC(), Ops: state.Ops(config),
	}
	if change.ID == "" {
		change.ID = fleet.NewChangeID()
	}
	if len(change.Ops) == 0 {
		fmt.Fprintf(o.std.out, "nothing to change: revision %d is what the files say\n", state.Revision())
		return nil
	}
	if err := o.checkRevision(state.Revision()); err != nil {
		return err
	}
	revision, err := store.Accept(ctx, change)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.std.out, "accepted as revision %d (change %s)\n", revision, change.ID)
	return nil
}

type configHistoryOptions struct {
	kvFlags
	Limit  int    `long:"limit" default:"20" description:"number of changes"`
	Format string `long:"format" default:"text" choice:"text" choice:"json" description:"what is printed"`
	std    streams
}

// Execute implements flags.Commander.
func (o *configHistoryOptions) Execute([]string) error {
	return o.withStore(o.std, func(ctx context.Context, store configStore) error {
		deltas, err := store.log.History(ctx, o.Limit)
		if err != nil {
			return err
		}
		if o.Format == formatJSON {
			return printJSON(o.std.out, deltas)
		}
		printHistory(o.std.out, deltas)
		return nil
	})
}

type configExplainOptions struct {
	kvFlags
	Team          string `long:"team" required:"true" description:"team whose requests are meant"`
	Service       string `long:"service" required:"true" description:"service that they call"`
	Class         string `long:"class" description:"class of the requests; the service's first if left out"`
	FailureDomain string `long:"failure-domain" description:"failure domain of the node that serves them"`
	Format        string `long:"format" default:"text" choice:"text" choice:"json" description:"what is printed"`
	Files         struct {
		Paths []string `positional-arg-name:"FILE-OR-DIRECTORY"`
	} `positional-args:"true" description:"files to explain instead of what the key-value service holds"`
	std streams
}

// Execute implements flags.Commander.
func (o *configExplainOptions) Execute([]string) error {
	if len(o.Files.Paths) > 0 {
		config, err := configFiles{Paths: o.Files.Paths}.load()
		if err != nil {
			return err
		}
		return o.explain(config)
	}
	return o.withStore(o.std, func(ctx context.Context, store configStore) error {
		state, err := store.State(ctx)
		if err != nil {
			return err
		}
		return o.explain(state.Config)
	})
}

func (o *configExplainOptions) explain(config *fleet.Config) error {
	explanation, err := config.Explain(fleet.Scope{
		Team: api.Team(o.Team), Service: api.Service(o.Service), Class: api.Class(o.Class), FailureDomain: api.FailureDomain(o.FailureDomain),
	}, time.Now())
	if err != nil {
		return &usageError{cause: err}
	}
	if o.Format == formatJSON {
		return printJSON(o.std.out, explanation)
	}
	printExplanation(o.std.out, explanation)
	return nil
}
